"""The life of one caller's request at an entry, as a pure state machine.

``docs/design/0004-request-life.md`` has the phases and the reasons.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery import refusals
from snipebend.delivery.actions import SetTimer
from snipebend.delivery.attempting import on_attempting
from snipebend.delivery.claiming import on_claiming, on_sealing_holder
from snipebend.delivery.events import (
    Arrived,
    CallerGone,
    DeadlineReached,
    NoUpstream,
    RetryDenied,
    RetryGranted,
    UpstreamChosen,
)
from snipebend.delivery.giving_up import on_caller_gone, on_deadline
from snipebend.delivery.life import Life
from snipebend.delivery.phases import (
    AskingRetry,
    Attempting,
    Choosing,
    Claiming,
    Ended,
    SealingHolder,
    SealingOwn,
    Settling,
)
from snipebend.delivery.settling import on_sealing_own, on_settling
from snipebend.delivery.transitions import choose, claim, refuse, send

if TYPE_CHECKING:
    from random import Random

    from snipebend.delivery.actions import Action
    from snipebend.delivery.events import Event
    from snipebend.delivery.limits import DeliveryLimits


class RequestMachine:
    """Decides what is done next for one request.

    The first event is ``Arrived``. The driver runs the actions and reports
    back by events until ``done``; it may forget the machine then.
    """

    def __init__(self, limits: DeliveryLimits) -> None:
        """Wait for the request."""
        self._limits = limits
        self._life: Life | None = None

    @property
    def done(self) -> bool:
        """Tell whether nothing more is awaited or to be settled."""
        return self._life is not None and isinstance(self._life.phase, Ended)

    def step(self, event: Event, now: float, rng: Random) -> list[Action]:
        """Take one event at wall time ``now`` in seconds."""
        if isinstance(event, Arrived):
            return self._arrive(event, now, rng)
        if self._life is None:
            return []
        self._life.begin(now, rng)
        return _dispatch(self._life, event)

    def _arrive(
        self,
        event: Arrived,
        now: float,
        rng: Random,
    ) -> list[Action]:
        cap = now + self._limits.max_deadline_s
        deadline_at = min(event.request.deadline_at, cap)
        facts = event.request._replace(deadline_at=deadline_at)
        self._life = Life(facts, self._limits)
        self._life.begin(now, rng)
        return [SetTimer(deadline_at), *choose(self._life)]


def _dispatch(life: Life, event: Event) -> list[Action]:
    if isinstance(event, CallerGone):
        return on_caller_gone(life)
    if isinstance(event, DeadlineReached):
        return on_deadline(life)
    match life.phase:
        case Choosing():
            return _on_choosing(life, event)
        case AskingRetry() as asking:
            return _on_asking(life, asking, event)
        case Attempting() as attempting:
            return on_attempting(life, attempting, event)
    return _dispatch_proofs(life, event)


def _dispatch_proofs(life: Life, event: Event) -> list[Action]:
    match life.phase:
        case Claiming() as claiming:
            return on_claiming(life, claiming, event)
        case SealingOwn() as sealing:
            return on_sealing_own(life, sealing, event)
        case SealingHolder() as sealing_holder:
            return on_sealing_holder(life, sealing_holder, event)
        case Settling() as settling:
            return on_settling(life, settling, event)
    return []


def _on_choosing(life: Life, event: Event) -> list[Action]:
    match event:
        case UpstreamChosen(target=target):
            if life.is_claimed:
                return claim(life, target, refusals.deadline_reached())
            return send(life, life.next_attempt(), target)
        case NoUpstream():
            return _on_no_upstream(life, event)
    return []


def _on_no_upstream(life: Life, event: NoUpstream) -> list[Action]:
    refusal = refusals.no_upstream(event)
    if life.proof.key_in_doubt:
        # An earlier sending may have run: look the key up before refusing,
        # for a true outcome or the kept answer.
        return claim(life, None, refusal)
    return refuse(life, refusal)


def _on_asking(life: Life, phase: AskingRetry, event: Event) -> list[Action]:
    match event:
        case RetryGranted():
            return choose(life)
        case RetryDenied(retry_after=retry_after):
            longest = max(retry_after, phase.refusal.retry_after)
            return refuse(life, phase.refusal._replace(retry_after=longest))
    return []
