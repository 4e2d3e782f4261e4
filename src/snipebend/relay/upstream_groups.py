"""Groups of upstreams in lock-step as one entry sees them (pure)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from snipebend.state.host_news import GroupPhase

if TYPE_CHECKING:
    from snipebend.state.host_news import GroupStanding

#: Seconds for which a group counts as down after a call named a rank of it as
#: lost: control sees it within 0.3 s, and a group forms anew in 0.6 s and more.
LEFT_FOR_S = 1.0


@dataclass(slots=True)
class UpstreamGroup:
    """One group: all of it works, or none."""

    name: str
    phase: GroupPhase = GroupPhase.OPEN
    #: Own calls saw it down; until then it gets work last.
    left_until: float = 0

    def take(self, standing: GroupStanding) -> None:
        """Take over what control tells."""
        self.phase = standing.phase

    def note_lost_rank(self, now: float) -> None:
        """Leave it: one of its ranks is lost, and the others wait for it."""
        self.left_until = now + LEFT_FOR_S

    def is_down(self, now: float) -> bool:
        """Tell whether it is known to stand still."""
        return self.phase is GroupPhase.DOWN or now < self.left_until
