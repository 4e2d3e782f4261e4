"""The agent's check of fences, for engines that check them and others (pure).

Fencing tokens after Gray and Cheriton's leases (SOSP 1989): a number that
grows with each holder, compared at the resource. Time alone protects an agent
that has not heard of the new holder yet: every order has a deadline within its
holder's lease, and the next holder waits until that lease has ended.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from snipebend.errors.hierarchy import (
    ConflictError,
    SnipebendError,
    UnavailableError,
)

if TYPE_CHECKING:
    from snipebend.orders.messages import EngineOrder

_STEP = 'check fence'


class FenceGate:
    """Remembers the highest fence of each group; forgets all at a restart."""

    def __init__(self) -> None:
        """Begin without any fence: no order passes yet."""
        self._fences: dict[str, int] = {}

    def knows(self, group: str) -> bool:
        """Tell whether a quorum's fence of the group was read."""
        return group in self._fences

    def fence(self, group: str) -> int:
        """Return the highest fence known of a group, 0 if none."""
        return self._fences.get(group, 0)

    def fences(self) -> dict[str, int]:
        """Return the highest fences known, by group."""
        return dict(self._fences)

    def learn(self, group: str, fence: int) -> None:
        """Note a fence that a quorum has confirmed."""
        self._fences[group] = max(fence, self.fence(group))

    def admit(
        self,
        order: EngineOrder,
        now: float,
    ) -> Result[None, SnipebendError]:
        """Let an order pass at wall time ``now``, or tell why not."""
        if order.deadline_at <= now:
            return _refuse('the deadline of the order has passed')
        return self.admit_fence(order.group, order.fence)

    def admit_fence(
        self,
        group: str,
        fence: int,
    ) -> Result[None, SnipebendError]:
        """Let a holder's message pass; its fence becomes the lowest valid."""
        if not self.knows(group):
            text = f'the fence of {group} was not read from a quorum yet'
            return Err(UnavailableError(text, step=_STEP))
        if fence < self.fence(group):
            return _refuse(f'stale fence {fence}, known {self.fence(group)}')
        self.learn(group, fence)
        return Ok(None)


def _refuse(reason: str) -> Result[None, SnipebendError]:
    return Err(ConflictError(reason, step=_STEP))
