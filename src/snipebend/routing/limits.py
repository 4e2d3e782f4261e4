"""Rate and concurrency limits of workspaces."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

from snipebend.routing.messages import RefusalReason, Refused
from snipebend.routing.rates import TokenBucket
from snipebend.routing.retry_after import retry_after

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from snipebend.fleet.model import Workspace


@dataclass(slots=True)
class _Tenant:
    """One workspace: its limits and the requests it has in the entry."""

    bucket: TokenBucket
    max_in_hand: int
    in_hand: int = 0


class WorkspaceLimits:
    """Rate and concurrency of each workspace; each entry has its share."""

    def __init__(self) -> None:
        """Start without workspaces."""
        self._workspaces: dict[str, Workspace] = {}
        self._tenants: dict[str, _Tenant] = {}
        self._entries = 1

    def __len__(self) -> int:
        """Return the number of workspaces that have sent requests."""
        return len(self._tenants)

    def update(self, workspaces: Iterable[Workspace], entries: int) -> None:
        """Take over the limits; what is in hand stays counted."""
        self._entries = entries
        self._workspaces = {one.name: one for one in workspaces}
        for name, tenant in tuple(self._tenants.items()):
            workspace = self._workspaces.get(name)
            if workspace is not None:
                rate, burst = self._rate(workspace)
                tenant.bucket.apply_limits(rate, burst)
                tenant.max_in_hand = self._most(workspace)
            elif not tenant.in_hand:
                self._tenants.pop(name)

    def find(self, name: str) -> Workspace | None:
        """Return a workspace of the fleet."""
        return self._workspaces.get(name)

    def refusal(
        self, workspace: Workspace, now: float, hold_s: float, rng: Random
    ) -> Refused | None:
        """Return why a request can't come in now, if so."""
        tenant = self._tenant(workspace)
        wait = tenant.bucket.wait_s(now)
        if wait:
            return Refused(RefusalReason.RATE, retry_after(wait, rng))
        if tenant.in_hand >= tenant.max_in_hand:
            # The next of its own requests ends after this span on average.
            next_end = hold_s / tenant.max_in_hand
            return Refused(
                RefusalReason.CONCURRENCY, retry_after(next_end, rng)
            )
        return None

    def take(self, workspace: Workspace) -> None:
        """Count a request that came in."""
        tenant = self._tenant(workspace)
        tenant.bucket.take()
        tenant.in_hand += 1

    def give_back(self, name: str) -> None:
        """Count a request that has left."""
        tenant = self._tenants.get(name)
        if tenant is None:
            return
        tenant.in_hand -= 1
        if not (tenant.in_hand or name in self._workspaces):
            self._tenants.pop(name)

    def _tenant(self, workspace: Workspace) -> _Tenant:
        tenant = self._tenants.get(workspace.name)
        if tenant is None:
            bucket = TokenBucket(*self._rate(workspace))
            tenant = _Tenant(bucket, self._most(workspace))
            self._tenants[workspace.name] = tenant
        return tenant

    def _rate(self, workspace: Workspace) -> tuple[float, float]:
        burst = max(1, workspace.burst / self._entries)
        return workspace.rate_per_s / self._entries, burst

    def _most(self, workspace: Workspace) -> int:
        return ceil(workspace.max_concurrency / self._entries)
