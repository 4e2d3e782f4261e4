"""Tracks the demand of one group by reading its counts when necessary."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from snipebend.experts.reading_plan import Reading, ReadingPlan

if TYPE_CHECKING:
    from snipebend.experts.group_pass_times import GroupPassTimes
    from snipebend.experts.group_monitor import GroupMonitor, MapKept
    from snipebend.experts.sizes import ExpertSizes
    from snipebend.kernel.clock import Clock
    from snipebend.balancing.meters import BalancerMeters
    from snipebend.balancing.count_reader import CountReader
    from snipebend.balancing.group_observer import GroupSnapshot

#: Seconds without a new pass after which a group counts as idle. Reports are
#: read every second and are a few hundred milliseconds old.
IDLE_AFTER_S = 1.5

#: Seconds after the last reported pass time during which missing reports can
#: mean that the group is on hold or broken, rather than without work.
RECHECK_WINDOW_S = 2.5

#: Seconds between two checks of a group that may be on hold or broken.
RECHECK_INTERVAL_S = 0.3


class DemandFollower:
    """Reads the counts of one group when its pass times justify the cost."""

    def __init__(
        self,
        group: str,
        counts: CountReader,
        pass_times: GroupPassTimes,
        clock: Clock,
        meters: BalancerMeters,
    ) -> None:
        """Create a follower that has read no counts or pass times yet."""
        self.plan = ReadingPlan(0)
        self._group = group
        self._counts = counts
        self._pass_times = pass_times
        self._clock = clock
        self._meters = meters
        #: The last reported pass, and when it was first reported.
        self._step = 0
        self._progressed_at: float = 0
        #: Time of the last pass time reported by entries, and of the last
        #: check that followed missing reports.
        self._pass_time_reported_at: float | None = None
        self._rechecked_at: float = 0

    def begin(self, sizes: ExpertSizes) -> None:
        """Reset the reading plan for a new epoch."""
        self.plan = ReadingPlan(sizes.max_pause_s)

    def update_pass_time(self, monitor: GroupMonitor) -> None:
        """Update the monitor with the pass time that entries report."""
        now = self._clock.now()
        monitor.reported_pass_s = self._pass_times.mean_pass_s(self._group, now)
        if monitor.reported_pass_s is not None:
            self._pass_time_reported_at = now

    def should_recheck(self, monitor: GroupMonitor) -> bool:
        """Return whether to check the group because pass times are missing."""
        now = self._clock.now()
        if (
            monitor.reported_pass_s is not None
            or self._pass_time_reported_at is None
        ):
            return False
        if now > self._pass_time_reported_at + RECHECK_WINDOW_S:
            return False
        if now < self._rechecked_at + RECHECK_INTERVAL_S:
            return False
        self._rechecked_at = now
        return True

    def must_plan_for_paces(self, monitor: GroupMonitor) -> bool:
        """Return whether a rank's pace has changed since the last plan."""
        if monitor.is_demand_unknown:
            return False
        if not monitor.paces.is_plan_due(self._clock.now()):
            return False
        monitor.paces.note_attempt(self._clock.now())
        self.log_paces('changed', monitor)
        return True

    def log_paces(self, change: str, monitor: GroupMonitor) -> None:
        """Log what reports and passes say about the paces of the ranks."""
        logger.info(
            'event=paces_{} group={} slowest={:.1f} slow_ranks={} '
            + 'pass_ms={:.0f}',
            change,
            monitor.group,
            max(monitor.paces.reported, default=1),
            monitor.paces.slow_ranks,
            1000 * (monitor.reported_pass_s or 0),
        )

    def note_kept(self, monitor: GroupMonitor, kept: MapKept) -> None:
        """Log and record the decision to keep the current map."""
        logger.info(
            'event=map_kept group={} epoch={} reason={} skew={:.3f} '
            + 'skew_after={:.3f} saving={:.3f} pass_ms={:.0f}',
            monitor.group,
            monitor.epoch,
            kept.reason,
            kept.skew,
            kept.skew_after,
            kept.saving,
            1000 * (monitor.reported_pass_s or 0),
        )
        self._meters.count_kept(monitor.group, kept.reason)
        self.plan.note_kept(self._clock.now(), monitor.reported_pass_s)

    async def read(
        self, monitor: GroupMonitor, snapshot: GroupSnapshot
    ) -> bool:
        """Read counts if due; return whether they gave a new demand."""
        now = self._clock.now()
        if monitor.reported_pass_s is None and self._can_skip_reading(
            snapshot, now
        ):
            return False
        reading = self.plan.next_reading(now, monitor.reported_pass_s)
        if reading is Reading.NOTHING:
            return False
        self._log_reading(reading, monitor)
        is_unmixed = self.plan.is_unmixed and reading is Reading.END
        if not await self._counts.read(
            monitor, snapshot, reading, is_unmixed=is_unmixed
        ):
            self.plan.note_failed(now)
            return False
        if reading is Reading.SPOT_CHECK:
            if monitor.is_demand_unknown:
                await self._begin_interval(monitor, snapshot)
            else:
                self.plan.note_spot_check(now)
            return False
        if reading is Reading.BEGIN:
            self.plan.note_begun(now)
            return False
        if not monitor.demand.is_conclusive:
            self.plan.note_inconclusive(now)
            return False
        if monitor.is_demand_unknown:
            self.plan.note_begun(now)
            return False
        return True

    def _log_reading(self, reading: Reading, monitor: GroupMonitor) -> None:
        logger.info(
            'event=counts_read group={} reading={} new={} known={} '
            + 'pass_ms={:.0f}',
            self._group,
            reading.value,
            self.plan.is_unmixed,
            not monitor.is_demand_unknown,
            1000 * (monitor.reported_pass_s or 0),
        )
        self._meters.read(self._group, reading.value)

    async def _begin_interval(
        self, monitor: GroupMonitor, snapshot: GroupSnapshot
    ) -> None:
        """Start an interval on enough ranks to estimate the demand."""
        if await self._counts.read(monitor, snapshot, Reading.BEGIN):
            self.plan.note_begun(self._clock.now())
        else:
            self.plan.note_failed(self._clock.now())

    def _can_skip_reading(self, snapshot: GroupSnapshot, now: float) -> bool:
        """Return whether a reading is useless without reported pass times.

        Entries that reported pass times before now have no streams on the
        group, or too few for a better map to help; each reading has a cost.
        """
        return self._pass_time_reported_at is not None or self._is_idle(
            snapshot, now
        )

    def _is_idle(self, snapshot: GroupSnapshot, now: float) -> bool:
        step = max(report.step for report in snapshot.reports.values())
        if step != self._step:
            self._step = step
            self._progressed_at = now
        return now > self._progressed_at + IDLE_AFTER_S
