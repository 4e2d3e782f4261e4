"""Planted faults: each switches one mechanism of the delivery off."""

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
from snipebend.delivery.actions import FinishAnswer
from snipebend.delivery.caller_side import CallerSide
from snipebend.delivery.guard import Guard
from snipebend.delivery.messages import RefusalReason, SealVerdict

if TYPE_CHECKING:
    from collections.abc import Iterator

_FAR = 1e9


def _retry_without_seal(life, phase, refusal):
    return transitions.not_run(life, phase.attempt, refusal)


def _seal_without_tombstone(self, request):
    return SealVerdict.NOT_RUN


def _bar_without_tombstone(self, ticket, book):
    return self._state_reason(ticket, book)


def _any_incarnation(self, ticket, now, genuine=Guard.admit):
    return genuine(self, replace(ticket, incarnation=self.incarnation), now)


def _seal_any_incarnation(self, request, now, genuine=Guard.seal):
    return genuine(self, replace(request, incarnation=self.incarnation), now)


def _any_deadline(self, ticket, now, genuine=Guard.admit):
    return genuine(self, replace(ticket, deadline_at=_FAR), now)


def _any_attempt(life, phase, event, genuine=attempting.on_attempting):
    if hasattr(event, 'attempt') and hasattr(event, '_replace'):
        event = event._replace(attempt=phase.attempt)
    return genuine(life, phase, event)


def _send_unclaimed(life, target, refusal, genuine=transitions.claim):
    if target is None:
        return genuine(life, target, refusal)
    life.proof.key_in_doubt = False
    return transitions.send(life, life.next_attempt(), target)


def _finish_cleanly(self, reason, outcome):
    return self._close(FinishAnswer())


def _refuse_without_lookup(life, event):
    life.proof.key_in_doubt = False
    refusal = request_machine.refusals.no_upstream(event)
    return transitions.refuse(life, refusal)


def _pass_for_unseen(self, request, now, genuine=Guard.seal):
    self._books[True].forgotten_until = -_FAR
    return genuine(self, request, now)


def _take_duplicates_as_proof(self):
    return True


def _run_beside_holder(life, phase, holder):
    life.proof.key_in_doubt = False
    return transitions.send(life, phase.attempt, phase.target)


def _free_unsealed(life, holder, phase):
    return claiming._free_and_claim(life, holder, phase)


def _forget_doubt(life, phase, genuine=attempting._repeat):
    actions = genuine(life, phase)
    life.proof.attempt_in_doubt = False
    return actions


def _hold_back(life):
    return []


#: The name of each fault, and what is put in the place of what.
FAULTS = MappingProxyType(
    {
        'retry without a seal': (
            (attempting, 'seal_own', _retry_without_seal),
        ),
        'seal without a tombstone': (
            (Guard, '_seal_unseen', _seal_without_tombstone),
        ),
        'refusal without a tombstone': (
            (Guard, '_barring_reason', _bar_without_tombstone),
        ),
        'incarnation ignored': (
            (Guard, 'admit', _any_incarnation),
            (Guard, 'seal', _seal_any_incarnation),
        ),
        'deadline ignored': ((Guard, 'admit', _any_deadline),),
        'chunks of old attempts accepted': (
            (request_machine, 'on_attempting', _any_attempt),
        ),
        'claim skipped': ((request_machine, 'claim', _send_unclaimed),),
        'clean end after a break': ((CallerSide, 'abort', _finish_cleanly),),
        'refused without looking the key up': (
            (request_machine, '_on_no_upstream', _refuse_without_lookup),
        ),
        'forgotten attempts pass for unseen': (
            (Guard, 'seal', _pass_for_unseen),
        ),
        'a duplicate counts as proof': (
            (
                RefusalReason,
                'proves_not_run',
                PropertyMock(return_value=True),
            ),
        ),
        'a broken repeatable attempt counts as not run': (
            (attempting, '_repeat', _forget_doubt),
        ),
        'no answer at the deadline': (
            (request_machine, 'on_deadline', _hold_back),
        ),
        'holder freed without a seal': (
            (claiming, 'seal_holder', _free_unsealed),
        ),
    }
)


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Run with one fault in place."""
    with ExitStack() as stack:
        for owner, attribute, put in FAULTS[name]:
            stack.enter_context(patch.object(owner, attribute, put))
        yield
