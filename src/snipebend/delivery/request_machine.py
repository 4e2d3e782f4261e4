"""The lifecycle of one caller's request at an entry, as a state machine.

Performs no I/O. ``docs/design/0004-request-life.md`` describes the phases and
the reasons.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery import refusals
from snipebend.delivery.actions import SetTimer
from snipebend.delivery.attempting import on_attempting
from snipebend.delivery.claiming import on_claiming, on_sealing_holder
from snipebend.delivery.early_termination import (
    on_caller_disconnected,
    on_deadline,
)
from snipebend.delivery.events import (
    Arrived,
    CallerDisconnected,
    DeadlineReached,
    NoUpstream,
    RetryDenied,
    RetryGranted,
    UpstreamChosen,
)
from snipebend.delivery.phases import (
    AskingRetry,
    Attempting,
    Choosing,
    Claiming,
    Ended,
    SealingAttempt,
    SealingHolder,
    Settling,
)
from snipebend.delivery.request_context import RequestContext
from snipebend.delivery.settling import on_sealing_attempt, on_settling
from snipebend.delivery.transitions import choose, claim, refuse, send

if TYPE_CHECKING:
    from random import Random

    from snipebend.delivery.actions import Action
    from snipebend.delivery.events import Event
    from snipebend.delivery.limits import DeliveryLimits


class RequestMachine:
    """Decides the next actions for one request.

    The first event is ``Arrived``. The driver performs the actions and reports
    their results as events until ``done``; it can then drop the machine.
    """

    def __init__(self, limits: DeliveryLimits) -> None:
        """Create a machine that waits for ``Arrived``."""
        self._limits = limits
        self._context: RequestContext | None = None

    @property
    def done(self) -> bool:
        """Return whether nothing is awaited and nothing is left to settle."""
        return self._context is not None and isinstance(
            self._context.phase, Ended
        )

    def step(self, event: Event, now: float, rng: Random) -> list[Action]:
        """Handle one event at wall time ``now`` in seconds."""
        if isinstance(event, Arrived):
            return self._arrive(event, now, rng)
        if self._context is None:
            return []
        self._context.begin_step(now, rng)
        return _dispatch(self._context, event)

    def _arrive(
        self,
        event: Arrived,
        now: float,
        rng: Random,
    ) -> list[Action]:
        cap = now + self._limits.max_deadline_s
        deadline_at = min(event.request.deadline_at, cap)
        facts = event.request._replace(deadline_at=deadline_at)
        self._context = RequestContext(facts, self._limits)
        self._context.begin_step(now, rng)
        return [SetTimer(deadline_at), *choose(self._context)]


def _dispatch(context: RequestContext, event: Event) -> list[Action]:
    if isinstance(event, CallerDisconnected):
        return on_caller_disconnected(context)
    if isinstance(event, DeadlineReached):
        return on_deadline(context)
    match context.phase:
        case Choosing():
            return _on_choosing(context, event)
        case AskingRetry() as asking:
            return _on_asking_retry(context, asking, event)
        case Attempting() as attempting:
            return on_attempting(context, attempting, event)
    return _dispatch_claims(context, event)


def _dispatch_claims(context: RequestContext, event: Event) -> list[Action]:
    match context.phase:
        case Claiming() as claiming:
            return on_claiming(context, claiming, event)
        case SealingAttempt() as sealing:
            return on_sealing_attempt(context, sealing, event)
        case SealingHolder() as sealing_holder:
            return on_sealing_holder(context, sealing_holder, event)
        case Settling() as settling:
            return on_settling(context, settling, event)
    return []


def _on_choosing(context: RequestContext, event: Event) -> list[Action]:
    match event:
        case UpstreamChosen(target=target):
            if context.is_claimed:
                return claim(context, target, refusals.deadline_reached())
            return send(context, context.next_attempt(), target)
        case NoUpstream():
            return _on_no_upstream(context, event)
    return []


def _on_no_upstream(context: RequestContext, event: NoUpstream) -> list[Action]:
    refusal = refusals.no_upstream(event)
    if context.proof.key_may_have_run:
        # An earlier request may have run: look up the key before refusing, to
        # report a proved outcome or send the stored response.
        return claim(context, None, refusal)
    return refuse(context, refusal)


def _on_asking_retry(
    context: RequestContext, phase: AskingRetry, event: Event
) -> list[Action]:
    match event:
        case RetryGranted():
            return choose(context)
        case RetryDenied(retry_after=retry_after):
            longest = max(retry_after, phase.refusal.retry_after)
            return refuse(context, phase.refusal._replace(retry_after=longest))
    return []
