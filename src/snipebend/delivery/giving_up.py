"""The caller's leaving and the deadline: one answer now, the rest behind it.

Work that may not be repeated and may have started is never cancelled: it runs
to its end at the agent, so that the key's answer can be stored and a resend is
told what happened. Cancelling would turn ``ran`` into ``unknown``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery import refusals
from snipebend.delivery.actions import CancelAttempt
from snipebend.delivery.outcomes import Outcome
from snipebend.delivery.phases import (
    AskingRetry,
    Attempting,
    Choosing,
    Leave,
    SealingOwn,
    Settling,
)

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action
    from snipebend.delivery.life import Life


def on_caller_gone(life: Life) -> list[Action]:
    """Break off towards a caller that left."""
    final = life.caller.abort('the caller has gone', _outcome(life))
    return [*final, *_wind_down(life)]


def on_deadline(life: Life) -> list[Action]:
    """Answer at the deadline with what is proved by then."""
    refusal = refusals.deadline_reached()
    final = life.caller.refuse(refusal._replace(outcome=_outcome(life)))
    return [*final, *_wind_down(life)]


def _outcome(life: Life) -> Outcome:
    match life.phase:
        case Attempting() | SealingOwn():
            return Outcome.UNKNOWN
        case _:
            return life.proof.outcome


def _wind_down(life: Life) -> list[Action]:
    match life.phase:
        case Choosing() | AskingRetry():
            life.end()
        case Attempting(attempt=attempt) if life.facts.repeatable:
            life.end()
            return [CancelAttempt(attempt)]
        case Attempting() | SealingOwn() if not life.is_claimed:
            life.end()
        case Settling() as phase:
            life.phase = phase._replace(after=Leave())
        case _:
            # An answer that is still to come settles the key.
            pass  # noqa: WPS420  the remaining phases go on as they are
    return []
