"""Reports of the stand-in engine: delayed, and with gaps in cache events."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Literal, NamedTuple

from msgspec import Struct

if TYPE_CHECKING:
    from random import Random

    from snipebend.standin.prefix_cache import CacheChange

EVENT_HISTORY = 4096


class LoadReport(Struct, frozen=True):
    """The engine's load at ``taken_at`` (seconds of its clock)."""

    running: int
    queued: int
    kv_used_blocks: int
    kv_blocks: int
    step: int
    taken_at: float


class CacheEvent(Struct, frozen=True):
    """A published cache change.

    A missing number is a change that is never published.
    """

    seq: int
    kind: Literal['stored', 'evicted']
    prefix: str


class CacheSnapshot(Struct, frozen=True):
    """The prefixes in the cache after the change numbered ``seq``."""

    seq: int
    prefixes: tuple[str, ...]


class LoadHistory:
    """Load reports that are published after a fixed lag."""

    def __init__(self, first: LoadReport, lag_s: float) -> None:
        """Create a history; ``first`` is published until the next one is."""
        self._lag_s = lag_s
        self._reports = deque([first])

    def add(self, report: LoadReport) -> None:
        """Add the newest report."""
        self._reports.append(report)
        self._drop_outdated(report.taken_at)

    def delayed_report(self, now: float) -> LoadReport:
        """Return the newest report that is at least one lag old."""
        self._drop_outdated(now)
        return self._reports[0]

    def _drop_outdated(self, now: float) -> None:
        while len(self._reports) > 1:
            if self._reports[1].taken_at > now - self._lag_s:
                break
            self._reports.popleft()


class _DelayedEvent(NamedTuple):
    visible_at: float
    event: CacheEvent


class CacheFeed:
    """Cache events published after a lag; a random share never is.

    The share is ``gap_rate``; the random generator is seeded.
    """

    def __init__(self, rng: Random, *, lag_s: float, gap_rate: float) -> None:
        """Create a feed without events; the first change gets number 1."""
        self._rng = rng
        self._lag_s = lag_s
        self._gap_rate = gap_rate
        self._held: deque[_DelayedEvent] = deque(maxlen=EVENT_HISTORY)
        self.seq = 0

    def add(self, change: CacheChange, now: float) -> None:
        """Number a change; publish it after the lag, or never."""
        self.seq += 1
        if self._rng.random() < self._gap_rate:
            return
        event = CacheEvent(self.seq, change.kind, change.prefix)
        self._held.append(_DelayedEvent(now + self._lag_s, event))

    def events_after(self, seq: int, now: float) -> list[CacheEvent]:
        """Return the events above ``seq`` that are published by ``now``."""
        return [
            held.event
            for held in self._held
            if held.event.seq > seq and held.visible_at <= now
        ]
