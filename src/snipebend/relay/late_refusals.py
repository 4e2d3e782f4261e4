"""Tells refusals that came too late for their callers, and their causes.

Answers overload in which requests wait before they are refused: a caller that
is told at once can go elsewhere in time. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.relay.admission import Admitted
    from snipebend.relay.call_outcomes import CallOutcome

#: Share of the route's target by which a caller should know of a refusal.
LATE_SHARE = 0.125


class LateRefusal(NamedTuple):
    """A refusal after ``LATE_SHARE`` of the route's target."""

    #: The outcome of the last call; ``unanswered`` if it had none by then, and
    #: ``waited`` if none had begun.
    cause: str
    waited_s: float


def find_late_refusal(
    admitted: Admitted, calls: int, last_call: CallOutcome | None, now: float
) -> LateRefusal | None:
    """Return what a refusal at ``now`` is late by, or None if it is in time.

    ``calls`` had begun, the last of them with this outcome, if it has ended.
    """
    waited_s = now - admitted.began_at
    bound_s = admitted.route.target_s * LATE_SHARE
    if not bound_s or waited_s <= bound_s:
        return None
    if last_call is not None:
        return LateRefusal(last_call.value, waited_s)
    return LateRefusal('unanswered' if calls else 'waited', waited_s)
