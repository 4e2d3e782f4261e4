"""What became of a group's last switch, and what reports can show of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.direct_switch import Phase

if TYPE_CHECKING:
    from snipebend.state.group_plans import GroupPlan
    from snipebend.balancing.group_observer import GroupSnapshot


class LastSwitch:
    """The end of the last switch that this daemon drove."""

    def __init__(self) -> None:
        """Start before the first."""
        #: When orders may be given again; monotonic seconds, as below.
        self.settled_at: float = 0
        #: When reports show a switch that was let go.
        self.visible_at: float = 0
        #: The version of a plan that a rank refused.
        self._refused = 0
        #: The version that was let go, and the pass that it begins with.
        self._go_accepted = (0, 0)

    def record_outcome(
        self, version: int, phase: Phase, step: int | None, visible_at: float
    ) -> None:
        """Take note of how it ended; its orders show by ``shown_at``."""
        match phase:
            case Phase.GO_ACCEPTED:
                self.visible_at = visible_at
                self._go_accepted = (version, step or 0)
            case Phase.REFUSED:
                self._refused = version
                self.settled_at = visible_at
            case Phase.DONE:
                return
            case _:
                self.settled_at = visible_at

    def is_unfinished(self, plan: GroupPlan, snapshot: GroupSnapshot) -> bool:
        """Tell whether reports don't show a decided plan in force."""
        if not plan.version or plan.epoch != snapshot.any_report.epoch:
            return False
        if self._refused == plan.version:
            return False
        return snapshot.map_versions != {plan.version}

    def is_pending(self, plan: GroupPlan, snapshot: GroupSnapshot) -> bool:
        """Tell whether ranks still report from before the pass let go.

        They are armed for that pass, and nothing else is to be done. Reports of
        a slow rank are older than the others'. Driven again, its group was held
        a second time, and stood still for 0.6 s.
        """
        version, step = self._go_accepted
        if version != plan.version or plan.epoch != snapshot.any_report.epoch:
            return False
        return all(
            one.step < step
            for one in snapshot.reports.values()
            if one.map_version != version
        )
