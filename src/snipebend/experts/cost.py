"""Cost model of map changes and the budget of the weight store.

Costs are in steps of the group, so that they compare with skew, whose gain is a
fraction of each later step. A change is charged for the whole time that the
store spends on it: ranks advance in lock-step, so in the worst case the rank
that loads experts delays all others for as long.
"""

from __future__ import annotations

from typing import NamedTuple


class CostModel(NamedTuple):
    """Parameters of the cost of a change.

    ``step_s`` is the length of a step, ``stall_steps`` the number of steps for
    which the switch itself stalls the group, ``capacity_share`` the share of
    serving capacity that loading at the store's full rate takes, ``reserve``
    the share of capacity that is kept free for serving beyond its current
    utilisation.
    """

    step_s: float = 0.05
    stall_steps: float = 2.0
    capacity_share: float = 0.2
    reserve: float = 0.1

    def change_steps(self, load_bytes: int, bytes_per_s: float) -> float:
        """Return the cost of loading the bytes and switching, in steps."""
        return self.stall_steps + self.loading_steps(load_bytes, bytes_per_s)

    def loading_steps(self, load_bytes: int, bytes_per_s: float) -> float:
        """Return how many steps the store needs to send the bytes."""
        return load_bytes / bytes_per_s / self.step_s

    def rate_share(self, utilisation: float) -> float:
        """Return the share of the store's rate that loading may use.

        ``utilisation`` is the share of capacity that serving uses now.
        """
        spare = 1 - self.reserve - utilisation
        return min(max(spare / self.capacity_share, 0), 1)


class StoreBudget(NamedTuple):
    """Rate of the weight store, which serves all groups one load at a time.

    ``free_at`` is when the reserved loads end; new ones start then.
    """

    bytes_per_s: float
    free_at: float = 0

    def allowance(self, now: float, until: float) -> int:
        """Return the bytes that the store can still send by ``until``."""
        start = max(now, self.free_at)
        return int(max(until - start, 0) * self.bytes_per_s)

    def reserve(
        self,
        load_bytes: int,
        now: float,
        rate_share: float = 1.0,
    ) -> StoreBudget:
        """Return the budget with a load reserved at a share of the rate."""
        start = max(now, self.free_at)
        rate = rate_share * self.bytes_per_s
        return self._replace(free_at=start + load_bytes / rate)
