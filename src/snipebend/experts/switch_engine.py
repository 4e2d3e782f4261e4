"""Step tracking for engines that advance their steps themselves.

Engines with a built-in step barrier exchange the map stamp there, because their
orders name incarnation and map version, and they hold at the step of a prepared
map. The rank guard then tracks the engine's step instead of issuing steps.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.switch_messages import MapStamp
from snipebend.experts.switch_runner import StepRunner

if TYPE_CHECKING:
    from snipebend.experts.switch_rank_events import RankAction


class EngineSteps(StepRunner):
    """Tracks the step that the engine reports."""

    def observe(self, step: int, stamp: MapStamp) -> bool:
        """Record the step in progress and the engine's map.

        Return False if the engine has restarted: its step count started over,
        or it no longer has the map that was in force.
        """
        lost_map = self.in_force is not None and stamp == MapStamp()
        if lost_map or step + 1 < self.next_step:
            return False
        self.next_step = step + 1
        return True

    def advance(self) -> list[RankAction]:
        """Put the installed map in force once its step is reached."""
        pending = self._promise.pending
        if pending is not None and self.next_step > pending.step:
            self.in_force = pending
            self._promise.pending = None
        return []
