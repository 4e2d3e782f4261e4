"""Outcome of a group's last switch, compared with later reports.

A switch puts the group on hold before a pass, arms all ranks for that pass and
sends ``Go``, the order to start it. The new map is in force from that pass.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from snipebend.experts.direct_switch import Phase

if TYPE_CHECKING:
    from snipebend.state.group_plans import GroupPlan
    from snipebend.balancing.group_observer import GroupSnapshot


class LastSwitch:
    """The outcome of the last switch that this daemon ran."""

    def __init__(self) -> None:
        """Create the record; orders are allowed at once."""
        #: Time from which orders can be sent again; monotonic seconds, like
        #: all times of this class.
        self.orders_allowed_at: float = 0
        #: Time from which reports show the map of the last switch whose ``Go``
        #: was accepted.
        self.visible_at: float = 0
        #: The version of the last plan that a rank refused.
        self._refused = 0
        #: The version whose ``Go`` was accepted, and its first pass.
        self._go_accepted = (0, 0)
        #: The version of the last pending switch that was logged, and the pass
        #: before which reports showed its group on hold.
        self._logged: tuple[int, int | None] = (0, None)

    def record_outcome(
        self, version: int, phase: Phase, step: int | None, visible_at: float
    ) -> None:
        """Record the outcome; reports show its orders by ``visible_at``."""
        match phase:
            case Phase.GO_ACCEPTED:
                self.visible_at = visible_at
                self._go_accepted = (version, step or 0)
            case Phase.REFUSED:
                self._refused = version
                self.orders_allowed_at = visible_at
            case Phase.DONE:
                return
            case _:
                self.orders_allowed_at = visible_at

    def is_unfinished(self, plan: GroupPlan, snapshot: GroupSnapshot) -> bool:
        """Return whether reports do not show the decided plan in force."""
        if not plan.version or plan.epoch != snapshot.any_report.epoch:
            return False
        if self._refused == plan.version:
            return False
        return snapshot.map_versions != {plan.version}

    def is_pending(self, plan: GroupPlan, snapshot: GroupSnapshot) -> bool:
        """Return whether outdated reports precede the released pass.

        The ranks are armed for that pass, so no further action is required
        unless a late ``Hold`` stops the group again. Reports of a slow rank are
        older than those of the other ranks. When the switch was run again
        because of them, the group was held a second time and stopped for 0.6 s.
        """
        version, step = self._go_accepted
        if version != plan.version or plan.epoch != snapshot.any_report.epoch:
            return False
        if snapshot.is_stopped_before(version, step):
            return False
        return all(
            one.step < step
            for one in snapshot.reports.values()
            if one.map_version != version
        )

    def log_pending(self, snapshot: GroupSnapshot) -> None:
        """Log what reports show of a pending switch, once for each hold."""
        version, step = self._go_accepted
        state = (version, snapshot.held_step)
        if state == self._logged:
            return
        self._logged = state
        logger.info(
            'event=switch_pending group={} version={} first_pass={} '
            + 'last_pass={} held_at_step={} armed_ranks={} ranks={}',
            snapshot.any_report.group,
            version,
            step,
            snapshot.last_step,
            snapshot.held_step,
            snapshot.count_armed(version, step),
            len(snapshot.reports),
        )
