"""What a change of map costs, and the limits it must keep.

Costs are in steps of the group's time, so that they compare with skew, whose
gain is a share of each later step. A load is charged for all the time that
the store spends on it: ranks advance in lock-step, so in the worst case the
rank that loads holds back all others for as long.
"""

from __future__ import annotations

from typing import NamedTuple


class CostModel(NamedTuple):
    """How a group pays for a change.

    ``step_s`` is the length of a step, ``stall_steps`` what the switch of
    maps itself stalls, ``capacity_share`` the share of serving capacity that
    loading at the store's full rate takes, ``reserve`` the share of capacity
    that serving keeps beyond its utilisation.
    """

    step_s: float = 0.05
    stall_steps: float = 2.0
    capacity_share: float = 0.2
    reserve: float = 0.1

    def change_steps(self, load_bytes: int, bytes_per_s: float) -> float:
        """Return the cost of loading so many bytes and switching, in steps."""
        return self.stall_steps + self.load_steps(load_bytes, bytes_per_s)

    def load_steps(self, load_bytes: int, bytes_per_s: float) -> float:
        """Return the steps that pass while the store sends the bytes."""
        return load_bytes / bytes_per_s / self.step_s

    def pace(self, utilisation: float) -> float:
        """Return the share of the store's rate that serving can bear.

        ``utilisation`` is the share of capacity that serving uses now.
        """
        spare = 1 - self.reserve - utilisation
        return min(max(spare / self.capacity_share, 0), 1)


class StoreBudget(NamedTuple):
    """The weight store's rate, which all groups share, one load at a time.

    ``free_at`` is when the loads promised so far end; new ones start there.
    """

    bytes_per_s: float
    free_at: float = 0

    def allowance(self, now: float, until: float) -> int:
        """Return the bytes that can still be sent by ``until``."""
        start = max(now, self.free_at)
        return int(max(until - start, 0) * self.bytes_per_s)

    def reserve(
        self,
        load_bytes: int,
        now: float,
        pace: float = 1.0,
    ) -> StoreBudget:
        """Return the budget with a load promised at a share of the rate."""
        start = max(now, self.free_at)
        rate = pace * self.bytes_per_s
        return self._replace(free_at=start + load_bytes / rate)
