"""Injected faults: each disables one mechanism of delivery."""

from __future__ import annotations

from contextlib import ExitStack, contextmanager
from types import MappingProxyType
from typing import TYPE_CHECKING
from unittest.mock import PropertyMock, patch

from msgspec.structs import replace

from snipebend.delivery import (
    attempting,
    claiming,
    request_machine,
    transitions,
)
from snipebend.delivery.actions import FinishResponse
from snipebend.delivery.caller_response import CallerResponse
from snipebend.delivery.guard import AttemptGuard
from snipebend.delivery.messages import RefusalReason, SealVerdict

if TYPE_CHECKING:
    from collections.abc import Iterator

_FAR = 1e9


def _retry_without_seal(context, phase, refusal):
    return transitions.continue_after_not_run(context, phase.attempt, refusal)


def _seal_without_tombstone(self, request):
    return SealVerdict.NOT_RUN


def _bar_without_tombstone(self, ticket, records):
    return self._check_state(ticket, records)


def _any_incarnation(self, ticket, now, genuine=AttemptGuard.admit):
    return genuine(self, replace(ticket, incarnation=self.incarnation), now)


def _seal_any_incarnation(self, request, now, genuine=AttemptGuard.seal):
    return genuine(self, replace(request, incarnation=self.incarnation), now)


def _any_deadline(self, ticket, now, genuine=AttemptGuard.admit):
    return genuine(self, replace(ticket, deadline_at=_FAR), now)


def _any_attempt(context, phase, event, genuine=attempting.on_attempting):
    if hasattr(event, 'attempt') and hasattr(event, '_replace'):
        event = event._replace(attempt=phase.attempt)
    return genuine(context, phase, event)


def _send_unclaimed(context, target, refusal, genuine=transitions.claim):
    if target is None:
        return genuine(context, target, refusal)
    context.proof.key_may_have_run = False
    return transitions.send(context, context.next_attempt(), target)


def _finish_cleanly(self, reason, outcome):
    return self._close(FinishResponse())


def _refuse_without_lookup(context, event):
    context.proof.key_may_have_run = False
    refusal = request_machine.refusals.no_upstream(event)
    return transitions.refuse(context, refusal)


def _treat_evicted_as_unrecorded(self, request, now, genuine=AttemptGuard.seal):
    self._records[True].latest_evicted_deadline = -_FAR
    return genuine(self, request, now)


def _take_duplicates_as_proof(self):
    return True


def _run_beside_holder(context, phase, holder):
    context.proof.key_may_have_run = False
    return transitions.send(context, phase.attempt, phase.target)


def _release_unsealed(context, holder, phase):
    return claiming._release_and_claim(context, holder, phase)


def _ignore_attempt_doubt(context, phase, genuine=attempting._retry_repeatable):
    actions = genuine(context, phase)
    context.proof.attempt_may_have_run = False
    return actions


def _ignore_deadline(context):
    return []


#: For each fault: the patched object, its attribute and the replacement.
FAULTS = MappingProxyType(
    {
        'retry without a seal': (
            (attempting, 'seal_attempt', _retry_without_seal),
        ),
        'seal without a tombstone': (
            (AttemptGuard, '_seal_unrecorded', _seal_without_tombstone),
        ),
        'refusal without a tombstone': (
            (AttemptGuard, '_check_or_bar', _bar_without_tombstone),
        ),
        'incarnation ignored': (
            (AttemptGuard, 'admit', _any_incarnation),
            (AttemptGuard, 'seal', _seal_any_incarnation),
        ),
        'deadline ignored': ((AttemptGuard, 'admit', _any_deadline),),
        'chunks of old attempts accepted': (
            (request_machine, 'on_attempting', _any_attempt),
        ),
        'claim skipped': ((request_machine, 'claim', _send_unclaimed),),
        'clean end after a break': (
            (CallerResponse, 'abort', _finish_cleanly),
        ),
        'refused without looking the key up': (
            (request_machine, '_on_no_upstream', _refuse_without_lookup),
        ),
        'evicted attempts count as never received': (
            (AttemptGuard, 'seal', _treat_evicted_as_unrecorded),
        ),
        'a duplicate counts as proof': (
            (
                RefusalReason,
                'proves_not_run',
                PropertyMock(return_value=True),
            ),
        ),
        'a broken repeatable attempt counts as not run': (
            (attempting, '_retry_repeatable', _ignore_attempt_doubt),
        ),
        'no response at the deadline': (
            (request_machine, 'on_deadline', _ignore_deadline),
        ),
        'holder freed without a seal': (
            (claiming, 'seal_holder', _release_unsealed),
        ),
    }
)


@contextmanager
def injected(name: str) -> Iterator[None]:
    """Run with one fault injected."""
    with ExitStack() as stack:
        for owner, attribute, replacement in FAULTS[name]:
            stack.enter_context(patch.object(owner, attribute, replacement))
        yield
