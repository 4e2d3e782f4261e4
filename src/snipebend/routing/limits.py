"""Rate and concurrency limits per workspace."""

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
class _WorkspaceUsage:
    """One workspace: its limits and its requests in flight at this entry."""

    bucket: TokenBucket
    max_in_flight: int
    in_flight: int = 0


class WorkspaceLimits:
    """Enforces this entry's share of each workspace's limits.

    Each entry applies an equal share of the rate, burst and concurrency.
    """

    def __init__(self) -> None:
        """Create limits without workspaces."""
        self._workspaces: dict[str, Workspace] = {}
        self._usage: dict[str, _WorkspaceUsage] = {}
        self._entries = 1

    def __len__(self) -> int:
        """Return the number of workspaces with tracked usage."""
        return len(self._usage)

    def update(self, workspaces: Iterable[Workspace], entries: int) -> None:
        """Apply new limits; requests in flight stay counted."""
        self._entries = entries
        self._workspaces = {one.name: one for one in workspaces}
        for name, usage in tuple(self._usage.items()):
            workspace = self._workspaces.get(name)
            if workspace is not None:
                rate, burst = self._rate(workspace)
                usage.bucket.update_limits(rate, burst)
                usage.max_in_flight = self._max_in_flight(workspace)
            elif not usage.in_flight:
                self._usage.pop(name)

    def find(self, name: str) -> Workspace | None:
        """Return a workspace of the fleet, or None."""
        return self._workspaces.get(name)

    def check(
        self, workspace: Workspace, now: float, hold_s: float, rng: Random
    ) -> Refused | None:
        """Return the refusal for a request over a limit, else None."""
        usage = self._usage_of(workspace)
        wait = usage.bucket.wait_s(now)
        if wait:
            return Refused(RefusalReason.RATE, retry_after(wait, rng))
        if usage.in_flight >= usage.max_in_flight:
            # On average, one of the workspace's requests ends after this time.
            expected_wait_s = hold_s / usage.max_in_flight
            return Refused(
                RefusalReason.CONCURRENCY, retry_after(expected_wait_s, rng)
            )
        return None

    def acquire(self, workspace: Workspace) -> None:
        """Count an admitted request."""
        usage = self._usage_of(workspace)
        usage.bucket.consume()
        usage.in_flight += 1

    def release(self, name: str) -> None:
        """Count a request as finished."""
        usage = self._usage.get(name)
        if usage is None:
            return
        usage.in_flight -= 1
        if not (usage.in_flight or name in self._workspaces):
            self._usage.pop(name)

    def _usage_of(self, workspace: Workspace) -> _WorkspaceUsage:
        usage = self._usage.get(workspace.name)
        if usage is None:
            bucket = TokenBucket(*self._rate(workspace))
            usage = _WorkspaceUsage(bucket, self._max_in_flight(workspace))
            self._usage[workspace.name] = usage
        return usage

    def _rate(self, workspace: Workspace) -> tuple[float, float]:
        burst = max(1, workspace.burst / self._entries)
        return workspace.rate_per_s / self._entries, burst

    def _max_in_flight(self, workspace: Workspace) -> int:
        return ceil(workspace.max_concurrency / self._entries)
