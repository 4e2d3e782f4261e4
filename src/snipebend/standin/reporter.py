"""Measures the engine's load and cache and returns delayed reports."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from snipebend.standin.reports import (
    CacheFeed,
    CacheSnapshot,
    LoadHistory,
    LoadReport,
)
from snipebend.standin.settings import MS_PER_S

if TYPE_CHECKING:
    from snipebend.standin.batcher import Batcher
    from snipebend.standin.prefix_cache import CacheChange, PrefixCache
    from snipebend.standin.reports import CacheEvent
    from snipebend.standin.settings import EngineConfig
    from snipebend.standin.step_clock import StepClock


class Reporter:
    """Records the engine's load and cache changes and reports them late."""

    def __init__(
        self,
        cfg: EngineConfig,
        *,
        clock: StepClock,
        batcher: Batcher,
        cache: PrefixCache,
    ) -> None:
        """Report on the given batcher and cache."""
        self._clock = clock
        self._batcher = batcher
        self._cache = cache
        lag_s = cfg.report_lag_ms / MS_PER_S
        self._loads = LoadHistory(self._measure(), lag_s)
        self._feed = CacheFeed(
            Random(cfg.seed),
            lag_s=lag_s,
            gap_rate=cfg.gap_rate,
        )

    def record_load(self) -> None:
        """Record the current load after a change."""
        self._loads.add(self._measure())

    def record_cache_changes(self, changes: tuple[CacheChange, ...]) -> None:
        """Record cache changes, to be published as events with lag and loss.

        An event is published ``report_lag_ms`` later; a random share
        ``gap_rate`` of the events is never published.
        """
        for change in changes:
            self._feed.add(change, self._clock.now())

    def load(self) -> LoadReport:
        """Return the load as of one report lag ago."""
        return self._loads.delayed_report(self._clock.now())

    def cache_events(self, after: int) -> list[CacheEvent]:
        """Return the published cache events with numbers above ``after``."""
        return self._feed.events_after(after, self._clock.now())

    def cache_snapshot(self) -> CacheSnapshot:
        """Return the current contents of the cache."""
        return CacheSnapshot(self._feed.seq, self._cache.prefixes)

    def _measure(self) -> LoadReport:
        return LoadReport(
            running=self._batcher.running,
            queued=self._batcher.queued,
            kv_used_blocks=len(self._cache),
            kv_blocks=self._cache.capacity,
            step=self._clock.step,
            taken_at=self._clock.now(),
        )
