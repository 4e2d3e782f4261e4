"""Groups of upstreams that run in lock-step, as observed by one entry.

Performs no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from snipebend.state.host_updates import GroupPhase

if TYPE_CHECKING:
    from snipebend.state.host_updates import UpstreamGroupStatus

#: Seconds for which a group is treated as down after a response named one of
#: its ranks as lost: control detects it within 0.3 s, and a group re-forms in
#: 0.6 s or more.
LOST_RANK_AVOIDANCE_S = 1.0

#: Seconds after which an event has half its weight: some passes of 50 ms.
PASS_TIME_HALF_LIFE_S = 0.2

#: Seconds for which a pass time is valid after the last event, and for which a
#: call to a group without a valid one is awaited as a probe: the group's expert
#: map may have moved work off the slow rank meanwhile, and without a call no
#: entry would observe it.
PASS_TIME_MAX_AGE_S = 3.0


#: Share of slow ranks up to which they get no requests. A rank without requests
#: does not delay the others; leaving out a third of the ranks costs no more
#: than passes that take half as long again.
MAX_SPARED_SHARE = 1 / 3


@dataclass(slots=True)
class UpstreamGroup:
    """One group; its ranks can only work together."""

    name: str
    phase: GroupPhase = GroupPhase.OPEN
    #: Whether control reports a rank that slows down the others.
    has_slow_rank: bool = False
    #: Whether the other ranks do more without the slow ones.
    spares_slow_ranks: bool = False
    #: Chosen last until then, after a call of this entry found a rank lost.
    avoided_until: float = 0
    #: Until then, a call in progress is expected to show the pass time.
    probed_until: float = 0
    _events: float = 0
    _seconds: float = 0
    _event_at: float = 0

    def apply_status(self, status: UpstreamGroupStatus) -> None:
        """Apply a status reported by control."""
        self.phase = status.phase
        self.has_slow_rank = bool(status.slow)
        self.spares_slow_ranks = (
            0 < len(status.slow) <= MAX_SPARED_SHARE * len(status.members)
        )

    def record_lost_rank(self, now: float) -> None:
        """Avoid the group: the other ranks are waiting for a lost one."""
        self.avoided_until = now + LOST_RANK_AVOIDANCE_S

    def record_passes(self, events: int, seconds: float, now: float) -> None:
        """Record events of a stream and the seconds that preceded them."""
        kept = math.exp2((self._event_at - now) / PASS_TIME_HALF_LIFE_S)
        self._events = kept * self._events + events
        self._seconds = kept * self._seconds + seconds
        self._event_at = now

    def pass_time_s(self, now: float) -> float | None:
        """Return seconds per pass, or None without recent events."""
        if not self._events or now > self._event_at + PASS_TIME_MAX_AGE_S:
            return None
        return self._seconds / self._events

    def is_too_slow(self, now: float, allowed_pause_s: float) -> bool:
        """Return whether a slow rank makes every stream late.

        ``allowed_pause_s`` is the longest pause allowed between two events; 0
        means no limit. Passes that are long for another reason, after a shift
        in demand, are so in all groups and only for a short time. Avoiding such
        a group overloaded the other one and made the streams of both late in
        turn: in the 2 s of a shift they had 0.72 to 1.0 of their full value.
        """
        if not self.has_slow_rank or not allowed_pause_s:
            return False
        pass_time_s = self.pass_time_s(now)
        if pass_time_s is None:
            return now < self.probed_until
        return pass_time_s > allowed_pause_s

    def record_probe(self, now: float) -> None:
        """Record a call that will show the group's pass time."""
        self.probed_until = now + PASS_TIME_MAX_AGE_S

    def is_down(self, now: float) -> bool:
        """Return whether the group is known to have stopped."""
        return self.phase is GroupPhase.DOWN or now < self.avoided_until
