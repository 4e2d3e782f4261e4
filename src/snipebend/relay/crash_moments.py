"""Finds the ends of upstreams that happened in the same moment.

Answers a failure of many upstreams at once, whatever they run: no single
request or prompt part is its reason. Performs no I/O.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from typing import TYPE_CHECKING

from snipebend.relay.crash_suspect import SEPARATION_S

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from snipebend.relay.crash_report import UpstreamEnd
    from snipebend.relay.crash_suspect import CrashSuspect


class KnownEnds:
    """When each upstream ended, as known from all suspects."""

    def __init__(
        self, suspects: Iterable[CrashSuspect], explained: Container[str]
    ) -> None:
        """Collect the ends; those in ``explained`` have a known cause."""
        ended_at: dict[str, float] = {}
        for suspect in suspects:
            for incarnation, end in suspect.ends.items():
                if incarnation not in explained:
                    known = ended_at.get(incarnation, end.ended_at)
                    ended_at[incarnation] = min(known, end.ended_at)
        self._ended_at = sorted(ended_at.values())

    def is_common_failure(
        self, end: UpstreamEnd, own_ends: Iterable[UpstreamEnd]
    ) -> bool:
        """Return whether most upstreams of this moment ended without a suspect.

        ``own_ends`` are all ends under the suspect.
        """
        earliest = end.ended_at - SEPARATION_S
        latest = end.ended_at + SEPARATION_S
        all_ends = bisect_right(self._ended_at, latest) - bisect_left(
            self._ended_at, earliest
        )
        own = sum(earliest <= one.ended_at <= latest for one in own_ends)
        return all_ends > 2 * own
