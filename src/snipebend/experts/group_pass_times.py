"""Mean pass times of groups, reported by entries. Performs no I/O."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

#: Seconds for which a reported pass time is valid: several passes of 50 ms, and
#: three messages of each entry.
SAMPLE_TTL_S = 0.3


class _Sample(NamedTuple):
    at: float
    events: int
    seconds: float


class GroupPassTimes:
    """The recently reported pass times, by group."""

    def __init__(self) -> None:
        """Create an empty collection of samples."""
        self._samples: dict[str, deque[_Sample]] = {}

    def record(
        self, group: str, events: int, seconds: float, now: float
    ) -> None:
        """Record the stream events that one entry reports for a group.

        ``events`` is their number since the entry's last message, ``seconds``
        the sum of the times that passed before each of them on its stream. A
        pass produces one event per stream, so the quotient is the mean pass
        time.
        """
        if events > 0 and seconds > 0:
            samples = self._samples.setdefault(group, deque())
            samples.append(_Sample(now, events, seconds))
            self._drop_expired(samples, now)

    def mean_pass_s(self, group: str, now: float) -> float | None:
        """Return the mean pass time, or None without recent reports."""
        samples = self._samples.get(group)
        if samples is None:
            return None
        self._drop_expired(samples, now)
        events = sum(one.events for one in samples)
        return sum(one.seconds for one in samples) / events if events else None

    def _drop_expired(self, samples: deque[_Sample], now: float) -> None:
        while samples and samples[0].at < now - SAMPLE_TTL_S:
            samples.popleft()
