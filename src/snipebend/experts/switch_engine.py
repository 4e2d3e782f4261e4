"""Steps that the engine takes by itself, as a rank's guard sees them.

Engines with a step barrier of their own carry the stamp there, because their
orders name incarnation and map version, and hold where a prepared map says.
The guard then follows the engine's step instead of giving out steps.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.switch_messages import MapStamp
from snipebend.experts.switch_runner import StepRunner

if TYPE_CHECKING:
    from snipebend.experts.switch_rank_events import RankAction


class EngineSteps(StepRunner):
    """Follows the step that the engine reports."""

    def observe(self, step: int, stamp: MapStamp) -> bool:
        """Note the step in progress and the engine's map.

        Returns False if the engine has restarted: its steps have begun anew,
        or the map that was in force is gone.
        """
        forgot = self.in_force is not None and stamp == MapStamp()
        if forgot or step + 1 < self.next_step:
            return False
        self.next_step = step + 1
        return True

    def advance(self) -> list[RankAction]:
        """Put the installed map in force once its step has come."""
        pending = self._promise.pending
        if pending is not None and self.next_step > pending.step:
            self.in_force = pending
            self._promise.pending = None
        return []
