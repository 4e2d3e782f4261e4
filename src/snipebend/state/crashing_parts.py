"""Finds the prompt parts that crash upstreams; performs no I/O."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from snipebend.state.crash_state import CrashRecord

#: Different requests under which upstreams must have crashed before the part
#: that they share is the cause, rather than one of the requests.
MIN_REQUESTS = 2

#: Crashes beyond the limit for a single request: its crashes are counted while
#: it runs alone, those of a part also beside other requests.
FURTHER_CRASHES = 1

#: Milliseconds within which upstreams that fail together are noticed.
SEPARATION_MS = 300


def find_crashing_parts(
    crashes: Collection[CrashRecord],
    parts: Iterable[str],
    known: Collection[str],
    limit: int,
) -> list[str]:
    """Return which of these parts crash upstreams, as keys.

    Crashes that ``known`` parts explain don't count.
    """
    unexplained = [
        crash
        for crash in crashes
        if not any(crash.counts_against(part) for part in known)
    ]
    counts = {
        part: _count(part, unexplained)
        for part in parts
        if part not in known and _has_unlike_requests(part, unexplained)
    }
    most = max(counts.values(), default=0)
    if most < limit + FURTHER_CRASHES:
        return []
    return [part for part, count in counts.items() if count == most]


def _has_unlike_requests(part: str, crashes: Iterable[CrashRecord]) -> bool:
    requests: set[str] = set()
    for crash in crashes:
        if crash.counts_against(part):
            requests.update(crash.parts[part])
    return len(requests) >= MIN_REQUESTS


def _count(part: str, crashes: Iterable[CrashRecord]) -> int:
    """Return the crashes, those of one common failure only once."""
    count = 0
    last_ms = -math.inf
    found = [crash for crash in crashes if crash.counts_against(part)]
    for crash in sorted(found, key=lambda one: one.crashed_ms):
        began_ms = max(crash.parts[part].values())
        if began_ms >= last_ms or crash.crashed_ms >= last_ms + SEPARATION_MS:
            count += 1
            last_ms = crash.crashed_ms
    return count
