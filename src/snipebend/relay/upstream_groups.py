"""Groups of upstreams in lock-step as one entry sees them (pure)."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from snipebend.state.host_updates import GroupPhase

if TYPE_CHECKING:
    from snipebend.state.host_updates import UpstreamGroupStatus

#: Seconds for which a group counts as down after a call named a rank of it as
#: lost: control sees it within 0.3 s, and a group forms anew in 0.6 s and more.
LEFT_FOR_S = 1.0

#: Seconds after which an event counts half: some passes of 50 ms.
HALF_LIFE_S = 0.2

#: Seconds for which the length of passes is known after the last event, and for
#: which one call to a group that shows none is waited for: its map may have
#: taken the work off the slow rank meanwhile, and nobody else would see it.
REMEMBERED_S = 3.0


@dataclass(slots=True)
class UpstreamGroup:
    """One group: all of it works, or none."""

    name: str
    phase: GroupPhase = GroupPhase.OPEN
    #: One of its ranks holds the others back, as control sees it.
    has_slow: bool = False
    #: Own calls saw it down; until then it gets work last.
    left_until: float = 0
    #: A call was given to it that will show its passes by then.
    tried_until: float = 0
    _events: float = 0
    _seconds: float = 0
    _event_at: float = 0

    def take(self, standing: UpstreamGroupStatus) -> None:
        """Take over what control tells."""
        self.phase = standing.phase
        self.has_slow = bool(standing.slow)

    def note_lost_rank(self, now: float) -> None:
        """Leave it: one of its ranks is lost, and the others wait for it."""
        self.left_until = now + LEFT_FOR_S

    def note_pass(self, events: int, seconds: float, now: float) -> None:
        """Take note of events of a stream, and the time before them."""
        kept = math.exp2((self._event_at - now) / HALF_LIFE_S)
        self._events = kept * self._events + events
        self._seconds = kept * self._seconds + seconds
        self._event_at = now

    def pass_s(self, now: float) -> float | None:
        """Return the seconds of a pass; none: no stream showed any lately."""
        if not self._events or now > self._event_at + REMEMBERED_S:
            return None
        return self._seconds / self._events

    def is_late(self, now: float, allowed_s: float) -> bool:
        """Tell whether a slow rank makes every stream late.

        ``allowed_s`` is what a stream may pause; 0: any. Passes that are long
        for another reason, since demand has turned, are so for all groups, and
        soon over: leaving such a group for the other one filled that and made
        streams late by turns (worth 0.72 to 1.0 in the 2 s of a turn).
        """
        if not self.has_slow or not allowed_s:
            return False
        pass_s = self.pass_s(now)
        if pass_s is None:
            return now < self.tried_until
        return pass_s > allowed_s

    def note_call(self, now: float) -> None:
        """Take note of a call that will show its passes."""
        self.tried_until = now + REMEMBERED_S

    def is_down(self, now: float) -> bool:
        """Tell whether it is known to stand still."""
        return self.phase is GroupPhase.DOWN or now < self.left_until
