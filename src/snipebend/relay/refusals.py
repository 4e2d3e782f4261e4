"""Deprioritizes upstreams that refuse requests or break calls.

Performs no I/O.

An upstream that refuses or breaks calls does so within milliseconds: it has few
calls in progress and would attract the next call as the least loaded one. After
a refusal or a broken call it is chosen last for a while, which grows with their
consecutive number. Excluding it instead would leave callers without an upstream
where all upstreams refuse a part of their requests. Entries report refusals to
each other: otherwise each entry would have to be refused by every such
upstream.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from msgspec import Struct

#: Seconds for which an upstream is chosen last after a refusal, doubled with
#: each consecutive one.
INITIAL_AVOIDANCE_S = 0.1
MAX_AVOIDANCE_S = 4.0

_MAX_DOUBLINGS = 8


class RefusalReport(Struct, frozen=True, array_like=True):
    """An entry's report to the others about one upstream's refusals."""

    consecutive: int
    #: Seconds since this entry last received a refusal.
    age_s: float
    #: Start time of the upstream's incarnation; 0 from earlier versions.
    born: int = 0


@dataclass(slots=True)
class RefusalHistory:
    """The refusals of one upstream since it last accepted a request."""

    #: Consecutive refusals; refusals of concurrent calls count as one.
    consecutive: int = 0
    #: When any entry last received a refusal; monotonic seconds.
    received_at: float = -math.inf
    #: When a call of this entry was last refused.
    own_received_at: float = -math.inf
    #: When the last accepted call of this entry began.
    accepted_call_at: float = -math.inf
    #: When this entry learned that the upstream has begun another life.
    begun_at: float = -math.inf

    def record_refusal(self, call_started_at: float, now: float) -> None:
        """Record the refusal of a call that began at the given time."""
        if not self.consecutive or call_started_at >= self.received_at:
            self.consecutive += 1
        self.received_at = now
        self.own_received_at = now

    def record_response(self, call_started_at: float) -> None:
        """Record that a call that began at the given time was accepted."""
        self.accepted_call_at = max(self.accepted_call_at, call_started_at)
        if call_started_at > self.received_at:
            self.consecutive = 0

    def apply_report(self, report: RefusalReport, now: float) -> None:
        """Apply another entry's report unless a later call was accepted.

        A report may also be of a former incarnation of the upstream.
        """
        refused_at = now - report.age_s
        if refused_at <= self.accepted_call_at:
            return
        if not report.born and refused_at <= self.begun_at:
            return
        self.consecutive = max(self.consecutive, report.consecutive)
        self.received_at = max(self.received_at, refused_at)

    def make_report(self, now: float) -> RefusalReport | None:
        """Return the report for other entries, or None if it has expired."""
        if (
            not self.consecutive
            or now >= self.own_received_at + self._avoidance_s
        ):
            return None
        return RefusalReport(self.consecutive, now - self.own_received_at)

    def is_avoided(self, now: float) -> bool:
        """Return whether the upstream is to be chosen last."""
        return (
            self.consecutive > 0 and now < self.received_at + self._avoidance_s
        )

    @property
    def _avoidance_s(self) -> float:
        doublings = min(self.consecutive - 1, _MAX_DOUBLINGS)
        return min(MAX_AVOIDANCE_S, math.ldexp(INITIAL_AVOIDANCE_S, doublings))
