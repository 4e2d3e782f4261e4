"""Follows the demand on one group: reads its counts when they are wanted."""

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

#: Seconds without a pass after which a group counts as idle: reports are read
#: every second, and are some hundred milliseconds old.
IDLE_AFTER_S = 1.5

#: Seconds after the last event of a group's streams in which its silence may
#: mean that it is held or broken, rather than that it has no work.
RECHECK_WINDOW_S = 2.5

#: Seconds between two looks at a group that may be held or broken.
RECHECK_INTERVAL_S = 0.3


class DemandFollower:
    """Reads one group's counts when its passes say that it is worth it."""

    def __init__(
        self,
        group: str,
        counts: CountReader,
        paces: GroupPassTimes,
        clock: Clock,
        meters: BalancerMeters,
    ) -> None:
        """Start without having heard of the group."""
        self.plan = ReadingPlan(0)
        self._group = group
        self._counts = counts
        self._pass_times = paces
        self._clock = clock
        self._meters = meters
        #: The last pass that was reported, and when it was news.
        self._step = 0
        self._progressed_at: float = 0
        #: When entries last told of its passes, and of a doubt about them.
        self._pass_time_reported_at: float | None = None
        self._rechecked_at: float = 0

    def begin(self, sizes: ExpertSizes) -> None:
        """Begin anew with an epoch."""
        self.plan = ReadingPlan(sizes.pause_s)

    def update_pass_time(self, monitor: GroupMonitor) -> None:
        """Take over what entries tell of the group's passes."""
        now = self._clock.now()
        monitor.reported_pass_s = self._pass_times.mean_pass_s(self._group, now)
        if monitor.reported_pass_s is not None:
            self._pass_time_reported_at = now

    def should_recheck(self, monitor: GroupMonitor) -> bool:
        """Tell whether to look at the group now, since it has fallen silent."""
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

    def note_kept(self, monitor: GroupMonitor, kept: MapKept) -> None:
        """Take note that a look left the map as it is."""
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
        self._meters.kept(monitor.group, kept.reason)
        self.plan.note_kept(self._clock.now(), monitor.reported_pass_s)

    async def read(
        self, monitor: GroupMonitor, snapshot: GroupSnapshot
    ) -> bool:
        """Read counts if it is time; tell whether a span has ended."""
        now = self._clock.now()
        if monitor.reported_pass_s is None and self._can_skip_reading(
            snapshot, now
        ):
            return False
        reading = self.plan.next_reading(now, monitor.reported_pass_s)
        if reading is Reading.NOTHING:
            return False
        self._note_reading(reading, monitor)
        is_new = self.plan.is_new and reading is Reading.END
        if not await self._counts.read(
            monitor, snapshot, reading, is_new=is_new
        ):
            self.plan.note_failed(now)
            return False
        if reading is Reading.GLANCE:
            if monitor.is_demand_unknown:
                await self._begin(monitor, snapshot)
            else:
                self.plan.note_glanced(now)
            return False
        if reading is Reading.BEGIN:
            self.plan.note_begun(now)
            return False
        if not monitor.demand.told:
            self.plan.note_short(now)
            return False
        if monitor.is_demand_unknown:
            self.plan.note_begun(now)
            return False
        return True

    def _note_reading(self, reading: Reading, monitor: GroupMonitor) -> None:
        logger.info(
            'event=counts_read group={} reading={} new={} known={} '
            + 'pass_ms={:.0f}',
            self._group,
            reading.value,
            self.plan.is_new,
            not monitor.is_demand_unknown,
            1000 * (monitor.reported_pass_s or 0),
        )
        self._meters.read(self._group, reading.value)

    async def _begin(
        self, monitor: GroupMonitor, snapshot: GroupSnapshot
    ) -> None:
        """Begin a span on as many ranks as tell the demand."""
        if await self._counts.read(monitor, snapshot, Reading.BEGIN):
            self.plan.note_begun(self._clock.now())
        else:
            self.plan.note_failed(self._clock.now())

    def _can_skip_reading(self, snapshot: GroupSnapshot, now: float) -> bool:
        """Tell whether a reading serves nobody while no entry tells of passes.

        Entries that told before have no streams there now, or too few for a
        better map to serve anybody; each reading is paid for.
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
