"""The control daemon's gRPC service for the configuration.

Operators apply and show the configuration; entries and agents watch it.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping

from loguru import logger
from msgspec import structs

from snipebend.fleet.lease import KEEPALIVE_S
from snipebend.kernel.registry import Registry
from snipebend.kernel.service import Service
from snipebend.membership.confirmations import Confirmations
from snipebend.state.commands import ApplyFleet
from snipebend.state.configuration import ConfigurationState
from snipebend.state.configuration_feed import ConfigurationFeed
from snipebend.state.messages import (
    ApplyReply,
    ApplyRequest,
    Configuration,
    ShowReply,
    ShowRequest,
    WatchRequest,
)
from snipebend.transport.methods import APPLY, SHOW, WATCH
from snipebend.transport.replicated_state import ReplicatedState
from snipebend.transport.rpc_server import Endpoint, RpcServer

#: Seconds after which the daemon ends a watch. The watcher then reconnects, so
#: that clock drift in the elapsed times stays small and the watchers spread
#: over the daemons again.
WATCH_DURATION_S = 60.0


class ConfigurationApi(Service):
    """Sends configurations to watchers and tracks which processes use them."""

    def __init__(self, name: str, server: RpcServer) -> None:
        """Add the endpoints to the server."""
        super().__init__(name)
        self._feed = ConfigurationFeed()
        self._stopping = False
        self._started = False
        server.add(
            Endpoint(APPLY, self.apply),
            Endpoint(SHOW, self.show),
            Endpoint(WATCH, self.watch),
        )

    async def start(self, registry: Registry) -> None:
        """Look up the replicated state."""
        self._clock = registry.clock
        self._store = registry.find('state', ReplicatedState)
        self._confirmations = Confirmations(
            self._clock.now(), self._lease_duration_s
        )
        self._started = True

    @property
    def revision(self) -> int:
        """Return the revision in force on this daemon."""
        return self._state.revision

    async def apply(self, req: ApplyRequest) -> ApplyReply:
        """Commit or reject a change of the configuration."""
        reply: ApplyReply = await self._store.execute(
            ApplyFleet(req, self._store.wall()),
        )
        logger.info(
            'event=apply change={} outcome={} revision={}',
            req.change_id,
            reply.outcome.value,
            reply.revision,
        )
        return reply

    async def show(self, req: ShowRequest) -> ShowReply:
        """Return the configuration in force and who has confirmed it."""
        machine = await self._store.read()
        configuration = machine.state.configuration
        now = self._clock.now()
        return ShowReply(
            configuration.revision,
            configuration.text,
            self._confirmations.fresh(now),
            self._confirmations.expired(now),
            self._confirmations.is_complete(now),
        )

    async def watch(self, req: WatchRequest) -> AsyncIterator[Configuration]:
        """Yield newer configurations, or a keep-alive if there is none."""
        opened_at = self._clock.now()
        known = None if req.full else req.revision
        while not self._stopping:
            message = self._feed.next_after(self._state, known)
            now = self._clock.now()
            yield self._add_ages(message, now - opened_at)
            known = max(message.revision, known or 0)
            if now > opened_at + WATCH_DURATION_S:
                return
            await self._wait_for_newer(known)

    def confirm(self, process: str, revision: int) -> None:
        """Record the revision that a process has in force."""
        if process:
            now = self._clock.now()
            self._confirmations.record(
                process, revision, now, self._lease_duration_s
            )

    async def stop(self) -> None:
        """End all watches."""
        self._stopping = True
        if not self._started:
            return
        async with self._store.changed:
            self._store.changed.notify_all()

    def dump(self) -> Mapping[str, object]:
        """Return the revision in force and the processes' confirmations."""
        now = self._clock.now()
        return {
            'revision': self._state.revision,
            'confirmed': self._confirmations.fresh(now),
            'lapsed': self._confirmations.expired(now),
        }

    @property
    def _state(self) -> ConfigurationState:
        return self._store.machine.state.configuration

    @property
    def _lease_duration_s(self) -> float:
        return self._state.routing.config_lease_s

    def _add_ages(
        self, message: Configuration, elapsed_s: float
    ) -> Configuration:
        group = self._store.group
        ago = group.confirmed_ago if group else None
        return structs.replace(
            message,
            elapsed_s=elapsed_s,
            confirmed_ago_s=-1 if ago is None else ago,
        )

    async def _wait_for_newer(self, known: int) -> None:
        try:
            async with asyncio.timeout(KEEPALIVE_S), self._store.changed:
                await self._store.changed.wait_for(
                    lambda: self._stopping or self._state.revision > known,
                )
        except TimeoutError:
            return
