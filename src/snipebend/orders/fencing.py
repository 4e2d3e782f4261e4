"""Fence checks in the agent, for engines with or without fence checks.

Performs no I/O. Fencing tokens follow Gray and Cheriton's leases (SOSP 1989): a
number that increases with each holder is compared at the resource. An agent
that does not know the new holder yet is protected by time alone: every order
has a deadline within its holder's lease, and the next holder waits until that
lease has expired.
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
    """Stores the highest fence of each group; a restart loses all of them."""

    def __init__(self) -> None:
        """Create a gate without fences.

        All orders of a group are refused until its fence is known.
        """
        self._fences: dict[str, int] = {}

    def has_fence(self, group: str) -> bool:
        """Return whether the group's fence was read from a quorum."""
        return group in self._fences

    def fence(self, group: str) -> int:
        """Return the highest known fence of a group, 0 if none."""
        return self._fences.get(group, 0)

    def fences(self) -> dict[str, int]:
        """Return the highest known fences by group."""
        return dict(self._fences)

    def record_fence(self, group: str, fence: int) -> None:
        """Record a fence that a quorum has confirmed."""
        self._fences[group] = max(fence, self.fence(group))

    def admit(
        self,
        order: EngineOrder,
        now: float,
    ) -> Result[None, SnipebendError]:
        """Admit an order at wall time ``now``, or return the refusal."""
        if order.deadline_at <= now:
            return _refuse('the deadline of the order has passed')
        return self.admit_fence(order.group, order.fence)

    def admit_fence(
        self,
        group: str,
        fence: int,
    ) -> Result[None, SnipebendError]:
        """Admit a holder's message; its fence becomes the lowest valid one."""
        if not self.has_fence(group):
            text = f'the fence of {group} was not read from a quorum yet'
            return Err(UnavailableError(text, step=_STEP))
        if fence < self.fence(group):
            return _refuse(f'stale fence {fence}, known {self.fence(group)}')
        self.record_fence(group, fence)
        return Ok(None)


def _refuse(reason: str) -> Result[None, SnipebendError]:
    return Err(ConflictError(reason, step=_STEP))
