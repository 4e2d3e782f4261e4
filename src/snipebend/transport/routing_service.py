"""Runs the router as a service that admits requests and selects upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from snipebend.delivery.events import (
    NoUpstream,
    RetryDenied,
    RetryGranted,
    UpstreamChosen,
)
from snipebend.kernel.service import Service
from snipebend.routing.messages import Choice, Queued, RoutingRequest, Ticket
from snipebend.routing.router import Router, RouterSettings
from snipebend.transport.admission_waiters import (
    CALLER_DISCONNECTED,
    AdmissionWaiters,
    Verdict,
)
from snipebend.transport.configuration_follower import ConfigurationFollower
from snipebend.transport.directory_follower import DirectoryFollower
from snipebend.transport.local_crash_counts import LocalCrashCounts
from snipebend.transport.suspect_leases import SuspectLeases
from snipebend.transport.upstream_views import UpstreamViews

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import EntrySettings
    from snipebend.transport.asgi import Connection

#: Seconds between two checks of the queue and of the directory.
TICK_INTERVAL_S = 0.05

#: Seconds for which an upstream gets no work after its agent cannot reach it.
UNREACHABLE_HOLD_S = 1.0

#: Seconds after which a caller may retry when the retry budget is exhausted.
RETRY_AFTER_S = 1.0


class UpstreamSelection(NamedTuple):
    """The selection for a request; ``wait``: choose again shortly."""

    event: UpstreamChosen | NoUpstream
    wait: bool = False


class RoutingService(Service):
    """Owns the entry's router and updates it from the other services."""

    def __init__(self, name: str, cfg: EntrySettings) -> None:
        """Initialize without a fleet."""
        super().__init__(name)
        self.router = Router(
            RouterSettings(cfg.process.name, cfg.process.data_center),
        )
        self._views = UpstreamViews()
        self._rng = Random()
        self._applied_versions = (-1, -1)
        self._waiters = AdmissionWaiters()
        self.crash_counts = LocalCrashCounts()
        #: Called with each request that was served, and whether it ran alone
        #: under a lease.
        self.on_served: Callable[[RoutingRequest, bool], None] = _ignore_served
        #: Waits until the shared count exceeds the given number of deaths;
        #: returns whether it did.
        self.wait_for_death: Callable[[str, int], Awaitable[bool]] = (
            _no_shared_deaths
        )

    async def start(self, registry: Registry) -> None:
        """Look up the directory and the configuration; start the ticks."""
        self.clock = registry.clock
        self.leases = registry.find('suspect-leases', SuspectLeases)
        self._directory = registry.find('directory', DirectoryFollower)
        self._configuration = registry.find(
            'configuration',
            ConfigurationFollower,
        )
        registry.tasks.start('route', self._run_ticks)

    def dump(self) -> Mapping[str, object]:
        """Return the router's state."""
        state: dict[str, object] = self.router.dump()._asdict()
        state['waiting'] = len(self._waiters)
        return state

    async def admit(
        self,
        req: RoutingRequest,
        connection: Connection,
    ) -> Verdict:
        """Admit or refuse a request, after a wait if the router queues it.

        ``close`` must be called for an admitted request.
        """
        self._refresh()
        admission = self.router.admit(req, self.clock.now(), self._rng)
        if not isinstance(admission, Queued):
            return admission
        verdict = await self._waiters.wait(admission.ticket, connection)
        if verdict is None:
            self.close(admission.ticket)
            return CALLER_DISCONNECTED
        return verdict

    def choose(
        self, ticket: Ticket, exclude: frozenset[str]
    ) -> UpstreamSelection:
        """Choose the upstream of the next attempt."""
        self._refresh()
        now = self.clock.now()
        selection = self.router.choose(ticket, exclude, now, self._rng)
        if not isinstance(selection, Choice):
            return UpstreamSelection(
                NoUpstream(selection.retry_after_s), selection.wait
            )
        target = self._views.target(selection.upstream)
        if target is None:
            return UpstreamSelection(NoUpstream(RETRY_AFTER_S))
        target = target._replace(alone=selection.alone)
        return UpstreamSelection(UpstreamChosen(target))

    def death_limit(self) -> int:
        """Return the deaths after which a request gets no upstream."""
        index = self._configuration.index
        return index.fleet.routing.crash_limit if index else 1

    def request_retry(self) -> RetryGranted | RetryDenied:
        """Take a retry from the budget."""
        if self.router.request_retry(self.clock.now()):
            return RetryGranted()
        return RetryDenied(RETRY_AFTER_S)

    def record_leaving(self, upstream: str) -> None:
        """Send no new work to an upstream that reported that it is leaving."""
        self._views.record_leaving(upstream)
        self._update_upstreams()

    def record_down(self, upstream: str) -> None:
        """Send no work for a time to an upstream that refuses connections."""
        self._views.record_down(upstream, self.clock.now() + UNREACHABLE_HOLD_S)
        self._update_upstreams()

    def close(self, ticket: Ticket) -> None:
        """Close a request and admit the next ones from the queue."""
        self.router.close(ticket, self.clock.now())
        self._dispatch()

    async def _run_ticks(self) -> None:
        while True:
            self._refresh()
            if self._views.expire(self.clock.now()):
                self._update_upstreams()
            self._dispatch()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _dispatch(self) -> None:
        self._waiters.wake(self.router.dispatch(self.clock.now(), self._rng))

    def _refresh(self) -> None:
        """Update the router if the fleet or the directory has changed."""
        index = self._configuration.index
        versions = (self._configuration.revision, self._directory.version)
        if index is None or versions == self._applied_versions:
            return
        if versions[0] != self._applied_versions[0]:
            self.router.update_fleet(index)
        self._applied_versions = versions
        self.router.update_entries(self._directory.entries())
        self._views.update(
            self._directory.upstreams(), self._directory.received_at
        )
        self._update_upstreams()

    def _update_upstreams(self) -> None:
        self.router.update_upstreams(self._views.views(), self.clock.now())


def _ignore_served(req: RoutingRequest, alone: bool) -> None:
    """Do nothing: no shared list of suspects is connected."""


async def _no_shared_deaths(fingerprint: str, known: int) -> bool:
    """Return False: no shared list of suspects is connected."""
    return False
