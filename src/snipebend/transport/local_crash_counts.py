"""Counts upstream deaths observed by an entry.

The counts apply until the shared counts arrive from control.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

#: Seconds for which a death counts here; control receives it long before.
RETENTION_S = 5.0

#: Most fingerprints counted; the oldest is dropped first.
MAX_REQUESTS = 1024


class _CrashCount(NamedTuple):
    total: int = 0
    alone: bool = False
    expires_at: float = 0


class LocalCrashCounts:
    """Counts deaths by fingerprint, by the same rule as the shared counts.

    A request is blocked only if it was running alone at one death at least.
    Thus requests that merely ran at the same time as the cause are never
    blocked.
    """

    def __init__(self) -> None:
        """Initialize without deaths."""
        self._counts: OrderedDict[str, _CrashCount] = OrderedDict()

    def record_crash(self, fingerprint: str, alone: bool, now: float) -> None:
        """Count a death of an upstream that ran the request."""
        known = self._current(fingerprint, now)
        self._counts[fingerprint] = _CrashCount(
            known.total + 1,
            known.alone or alone,
            now + RETENTION_S,
        )
        if len(self._counts) > MAX_REQUESTS:
            self._counts.popitem(last=False)

    def is_blocked(self, fingerprint: str, limit: int, now: float) -> bool:
        """Return whether a request ran alone at a death and hit the limit."""
        known = self._current(fingerprint, now)
        return known.alone and known.total >= limit

    def clear(self, fingerprint: str) -> None:
        """Remove the count of a request that was served."""
        self._counts.pop(fingerprint, None)

    def _current(self, fingerprint: str, now: float) -> _CrashCount:
        known = self._counts.get(fingerprint, _CrashCount())
        return known if known.expires_at > now else _CrashCount()
