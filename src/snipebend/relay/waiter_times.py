"""By when a request has to be called so that its caller is served in time.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.hosts.model import RequestKind
from snipebend.relay.waiter import DEFAULT_WORK, Waiter

if TYPE_CHECKING:
    from snipebend.relay.admission import Admitted

#: Weight of a new measurement above the average, and of one below it: a call
#: that has waited at its upstream says little of those that don't.
_WEIGHT_ABOVE = 0.02
_WEIGHT_BELOW = 0.1

#: Share of a request's target that calls may take until they respond. What
#: takes longer has waited at an upstream, which admission is to prevent; if it
#: counted in full, all requests would be taken for late.
MAX_RESPONSE_SHARE = 0.5

#: Share of its route's time that a new caller states at least; one that states
#: less has spent the rest on an earlier attempt.
NEW_CALLER_SHARE = 0.8


#: Priorities of routes that are told apart.
ROUTE_PRIORITIES = 16


class ServiceTimes:
    """Moving averages of what the calls of one service take, in seconds."""

    def __init__(self) -> None:
        """Create without measurements."""
        self.first_event_s: float = 0
        self.hold_s: float = 0

    def record_first_event(self, seconds: float) -> None:
        """Record the time from a call to the first event of its stream."""
        self.first_event_s = _average(self.first_event_s, seconds)

    def record_hold(self, seconds: float) -> None:
        """Record the duration of a call."""
        self.hold_s = _average(self.hold_s, seconds)

    def dump(self) -> dict[str, object]:
        """Return the averages."""
        return {'first_event_s': self.first_event_s, 'hold_s': self.hold_s}


def make_waiter(
    admitted: Admitted,
    number: int,
    times: ServiceTimes,
    now: float,
    *,
    is_continued: bool,
    has_events: bool,
) -> Waiter:
    """Return the waiter of a request.

    A caller that returns states the time that it has left: its target counts
    from its first attempt. A resumed stream is on time as soon as it goes on.
    """
    route = admitted.route
    first_sent_at = admitted.began_at
    time_left_s = admitted.deadline - admitted.began_at
    has_returned = time_left_s < NEW_CALLER_SHARE * route.timeout_s
    if has_returned:
        first_sent_at = admitted.deadline - route.timeout_s
    latest_start = max(now, admitted.deadline - times.hold_s)
    is_stream = route.kind is RequestKind.STREAM
    response_s = times.first_event_s if is_stream else times.hold_s
    response_s = min(response_s, MAX_RESPONSE_SHARE * route.target_s)
    start_by = first_sent_at + route.target_s - response_s
    if has_events or not route.target_s:
        start_by = latest_start
    facts = admitted.facts
    return Waiter(
        number,
        _urgency(admitted),
        admitted.workspace,
        facts.prompt_tokens + facts.answer_tokens or DEFAULT_WORK,
        now,
        min(start_by, latest_start),
        admitted.deadline,
        latest_start,
        is_continued,
        has_returned,
    )


def _urgency(admitted: Admitted) -> int:
    """Return a workspace's requests in the order of their routes' urgency."""
    route_priority = min(admitted.route.priority, ROUTE_PRIORITIES - 1)
    return admitted.priority * ROUTE_PRIORITIES + route_priority


def _average(former: float, seconds: float) -> float:
    if not former:
        return seconds
    weight = _WEIGHT_ABOVE if seconds > former else _WEIGHT_BELOW
    return former + weight * (seconds - former)
