"""The weight store's rate as one schedule for all groups of a control leader.

A reservation starts when the one before it ends, so that all fetches together
stay within the rate whatever the groups do.
"""

from __future__ import annotations


class StoreSchedule:
    """Hands out start times for fetches from one rate-limited store."""

    def __init__(
        self,
        bytes_per_s: float,
        *,
        horizon_s: float,
        started_at: float,
    ) -> None:
        """Allow reservations up to ``horizon_s`` seconds ahead.

        A new leader does not know its predecessor's reservations; all of them
        have ended by ``started_at + horizon_s``, where its own begin. Pass a
        ``started_at`` that far in the past if there was no predecessor.
        """
        self._bytes_per_s = bytes_per_s
        self.horizon_s = horizon_s
        self.busy_until = started_at + horizon_s

    def reserve(
        self,
        sizes: dict[str, int],
        now: float,
        pace: float = 1,
    ) -> dict[str, float] | None:
        """Reserve all fetches, by rank in bytes, or none beyond the horizon.

        ``pace`` is the share of the rate to be used. Returns the time in
        seconds before which each rank must not start.
        """
        moment = max(now, self.busy_until)
        starts = {}
        for rank, size in sizes.items():
            starts[rank] = moment
            if size:
                moment += size / (self._bytes_per_s * pace)
        if moment > max(now, self.busy_until) and self._is_beyond_horizon(
            moment, now
        ):
            return None
        self.busy_until = max(moment, self.busy_until)
        return starts

    def _is_beyond_horizon(self, moment: float, now: float) -> bool:
        return moment > now + self.horizon_s
