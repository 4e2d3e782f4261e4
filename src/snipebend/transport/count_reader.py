"""Reads from engines which experts their requests chose."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from snipebend.experts.group_watch import GroupWatch
    from snipebend.kernel.clock import Clock
    from snipebend.transport.group_eyes import EngineLink, Seen

#: Ranks whose counts are read at each look while demand is steady: each reading
#: is paid for and lets the group rest, and one rank's choices show a turn.
SAMPLE = 1

#: Ranks whose counts are read while the demand turns. The few requests of one
#: rank tell it by a fifth wrong: maps made by them had a skew of 1.5 to 1.7 in
#: place of the 1.2 that they promised, and a second switch followed each turn.
TURNING_SAMPLE = 4


class CountReader:
    """Reads the counts of as few ranks as will do."""

    def __init__(self, link: EngineLink, clock: Clock) -> None:
        """Keep the way to engines."""
        self._link = link
        self._clock = clock

    async def read(self, watch: GroupWatch, seen: Seen) -> bool:
        """Read the counts of a few ranks; tell whether the epoch holds."""
        ranks = _spread(seen.upstreams, TURNING_SAMPLE)
        if watch.turning and watch.works:
            return await self._read_ranks(watch, seen, ranks)
        if not await self._read_ranks(watch, seen, ranks[:SAMPLE]):
            return False
        if watch.turning and watch.works:
            # The others' spans begin here.
            return await self._read_ranks(watch, seen, ranks[SAMPLE:])
        return True

    async def _read_ranks(
        self, watch: GroupWatch, seen: Seen, ranks: Sequence[int]
    ) -> bool:
        found = await asyncio.gather(
            *(self._link.counts(seen.upstreams[rank]) for rank in ranks)
        )
        read = {
            rank: counts
            for rank, counts in zip(ranks, found, strict=True)
            if counts is not None and counts.epoch == watch.epoch
        }
        if len(read) < len(ranks):
            return False
        watch.note_counts(read, self._clock.now())
        return True


def _spread(ranks: Collection[int], number: int) -> list[int]:
    """Return some ranks, far from each other."""
    ordered = sorted(ranks)
    stride = max(1, len(ordered) // number)
    return [ordered[at] for at in range(0, len(ordered), stride)][:number]
