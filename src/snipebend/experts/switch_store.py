"""Schedule that shares the weight store's rate among a control leader's groups.

A reservation starts when the previous one ends, so that all fetches together
stay within the rate, whatever the groups request.
"""

from __future__ import annotations


class StoreSchedule:
    """Assigns start times to fetches from one rate-limited store."""

    def __init__(
        self,
        bytes_per_s: float,
        *,
        horizon_s: float,
        started_at: float,
    ) -> None:
        """Allow reservations up to ``horizon_s`` seconds ahead.

        A new leader does not know the reservations of its predecessor. All of
        those end by ``started_at + horizon_s``, so new reservations start
        there. Without a predecessor, pass a ``started_at`` that lies at least
        ``horizon_s`` in the past.
        """
        self._bytes_per_s = bytes_per_s
        self.horizon_s = horizon_s
        self.busy_until = started_at + horizon_s

    def reserve(
        self,
        sizes: dict[str, int],
        now: float,
        rate_share: float = 1,
    ) -> dict[str, float] | None:
        """Reserve time for all fetches, given in bytes by rank.

        ``rate_share`` is the share of the rate to use. Return the earliest
        start time of each rank in seconds, or None if a fetch would end beyond
        the horizon.
        """
        moment = max(now, self.busy_until)
        starts = {}
        for rank, size in sizes.items():
            starts[rank] = moment
            if size:
                moment += size / (self._bytes_per_s * rate_share)
        if moment > max(now, self.busy_until) and self._is_beyond_horizon(
            moment, now
        ):
            return None
        self.busy_until = max(moment, self.busy_until)
        return starts

    def _is_beyond_horizon(self, moment: float, now: float) -> bool:
        return moment > now + self.horizon_s
