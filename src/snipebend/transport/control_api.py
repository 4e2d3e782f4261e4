"""The control daemon's gRPC interface for operators, entries and agents."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping

from loguru import logger

from snipebend.kernel.registry import Registry
from snipebend.kernel.service import Service
from snipebend.state.commands import ApplyFleet
from snipebend.state.configuration import ConfigurationState
from snipebend.state.messages import (
    ApplyReply,
    ApplyRequest,
    Configuration,
    ShowReply,
    ShowRequest,
    WatchRequest,
)
from snipebend.transport.methods import APPLY, SHOW, WATCH
from snipebend.transport.rpc import Endpoint, RpcServer
from snipebend.transport.replicated_state import ReplicatedState


class ConfigurationKeeper(Service):
    """Holds the configuration and tells its watchers of each new one."""

    def __init__(self, name: str, server: RpcServer) -> None:
        """Add the endpoints to the server."""
        super().__init__(name)
        self._confirmed: dict[str, int] = {}
        self._stopping = False
        server.add(
            Endpoint(APPLY, self.apply),
            Endpoint(SHOW, self.show),
            Endpoint(WATCH, self.watch),
        )

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self._state.revision

    async def apply(self, req: ApplyRequest) -> ApplyReply:
        """Decide on a change."""
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
        """Return what is in force."""
        machine = await self._store.read()
        configuration = machine.state.configuration
        return ShowReply(
            configuration.revision,
            configuration.text,
            dict(self._confirmed),
        )

    async def watch(self, req: WatchRequest) -> AsyncIterator[Configuration]:
        """Yield each configuration newer than what the watcher has."""
        known = req.revision
        while not self._stopping:
            if self._state.revision > known:
                known = self._state.revision
                yield Configuration(known, self._state.text)
            await self._wait_for_newer(known)

    def confirm(self, process: str, revision: int) -> None:
        """Note the revision that a process has in force."""
        self._confirmed[process] = revision

    async def stop(self) -> None:
        """End the watchers' streams."""
        self._stopping = True
        async with self._store.changed:
            self._store.changed.notify_all()

    def dump(self) -> Mapping[str, object]:
        """Return the revision and who has confirmed which."""
        return {
            'revision': self._state.revision,
            'confirmed': dict(self._confirmed),
        }

    async def start(self, registry: Registry) -> None:
        """Find the state."""
        self._store = registry.find('state', ReplicatedState)

    @property
    def _state(self) -> ConfigurationState:
        return self._store.machine.state.configuration

    async def _wait_for_newer(self, known: int) -> None:
        async with self._store.changed:
            await self._store.changed.wait_for(
                lambda: self._stopping or self._state.revision > known,
            )
