"""Follows the demand on one group: reads its counts when they are wanted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from snipebend.experts.reading_plan import Reading, ReadingPlan

if TYPE_CHECKING:
    from snipebend.experts.group_pace import GroupPaces
    from snipebend.experts.group_watch import GroupWatch, Kept
    from snipebend.experts.sizes import ExpertSizes
    from snipebend.kernel.clock import Clock
    from snipebend.balancing.meters import BalancerMeters
    from snipebend.balancing.count_reader import CountReader
    from snipebend.balancing.group_eyes import Seen

#: Seconds without a pass after which a group counts as idle: reports are read
#: every second, and are some hundred milliseconds old.
IDLE_AFTER_S = 1.5

#: Seconds after the last event of a group's streams in which its silence may
#: mean that it is held or broken, rather than that it has no work.
DOUBT_FOR_S = 2.5

#: Seconds between two looks at a group that may be held or broken.
DOUBT_EVERY_S = 0.3


class DemandFollower:
    """Reads one group's counts when its passes say that it is worth it."""

    def __init__(
        self,
        group: str,
        counts: CountReader,
        paces: GroupPaces,
        clock: Clock,
        meters: BalancerMeters,
    ) -> None:
        """Start without having heard of the group."""
        self.plan = ReadingPlan(0)
        self._group = group
        self._counts = counts
        self._paces = paces
        self._clock = clock
        self._meters = meters
        #: The last pass that was reported, and when it was news.
        self._step = 0
        self._moved_at: float = 0
        #: When entries last told of its passes, and of a doubt about them.
        self._heard_at: float | None = None
        self._doubted_at: float = 0

    def begin(self, sizes: ExpertSizes) -> None:
        """Begin anew with an epoch."""
        self.plan = ReadingPlan(sizes.max_pause_s)

    def hear(self, watch: GroupWatch) -> None:
        """Take over what entries tell of the group's passes."""
        now = self._clock.now()
        watch.told_pass_s = self._paces.of_group(self._group, now)
        if watch.told_pass_s is not None:
            self._heard_at = now

    def takes_doubt(self, watch: GroupWatch) -> bool:
        """Tell whether to look at the group now, since it has fallen silent."""
        now = self._clock.now()
        if watch.told_pass_s is not None or self._heard_at is None:
            return False
        if now > self._heard_at + DOUBT_FOR_S:
            return False
        if now < self._doubted_at + DOUBT_EVERY_S:
            return False
        self._doubted_at = now
        return True

    def note_kept(self, watch: GroupWatch, kept: Kept) -> None:
        """Take note that a look left the map as it is."""
        logger.info(
            'event=map_kept group={} epoch={} reason={} skew={:.3f} '
            + 'skew_after={:.3f} saving={:.3f} pass_ms={:.0f}',
            watch.group,
            watch.epoch,
            kept.reason,
            kept.skew,
            kept.skew_after,
            kept.saving,
            1000 * (watch.told_pass_s or 0),
        )
        self._meters.kept(watch.group, kept.reason)
        self.plan.note_kept(self._clock.now(), watch.told_pass_s)

    async def read(self, watch: GroupWatch, seen: Seen) -> bool:
        """Read counts if it is time; tell whether a span has ended."""
        now = self._clock.now()
        if watch.told_pass_s is None and self._needs_none(seen, now):
            return False
        reading = self.plan.next_reading(now, watch.told_pass_s)
        if reading is Reading.NOTHING:
            return False
        self._note_reading(reading, watch)
        is_unmixed = self.plan.is_unmixed and reading is Reading.END
        if not await self._counts.read(
            watch, seen, reading, is_unmixed=is_unmixed
        ):
            self.plan.note_failed(now)
            return False
        if reading is Reading.SPOT_CHECK:
            if watch.turning:
                await self._begin(watch, seen)
            else:
                self.plan.note_spot_check(now)
            return False
        if reading is Reading.BEGIN:
            self.plan.note_begun(now)
            return False
        if not watch.demand.is_conclusive:
            self.plan.note_inconclusive(now)
            return False
        if watch.turning:
            self.plan.note_begun(now)
            return False
        return True

    def _note_reading(self, reading: Reading, watch: GroupWatch) -> None:
        logger.info(
            'event=counts_read group={} reading={} new={} known={} '
            + 'pass_ms={:.0f}',
            self._group,
            reading.value,
            self.plan.is_unmixed,
            not watch.turning,
            1000 * (watch.told_pass_s or 0),
        )
        self._meters.read(self._group, reading.value)

    async def _begin(self, watch: GroupWatch, seen: Seen) -> None:
        """Begin a span on as many ranks as tell the demand."""
        if await self._counts.read(watch, seen, Reading.BEGIN):
            self.plan.note_begun(self._clock.now())
        else:
            self.plan.note_failed(self._clock.now())

    def _needs_none(self, seen: Seen, now: float) -> bool:
        """Tell whether a reading serves nobody while no entry tells of passes.

        Entries that told before have no streams there now, or too few for a
        better map to serve anybody; each reading is paid for.
        """
        return self._heard_at is not None or self._is_idle(seen, now)

    def _is_idle(self, seen: Seen, now: float) -> bool:
        step = max(report.step for report in seen.reports.values())
        if step != self._step:
            self._step = step
            self._moved_at = now
        return now > self._moved_at + IDLE_AFTER_S
