"""Reads the load that an agent's engine reports."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING

from snipebend.kernel.service import Service
from snipebend.transport.configuration_follower import ConfigurationFollower
from snipebend.transport.engine_client import EngineClient
from snipebend.transport.forward import HttpClient

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import UpstreamSection


class LoadReader(Service):
    """Reads the load of an engine as often as the agent announces it.

    Plain services are never asked, nor engines whose policy has not yet been
    received.
    """

    def __init__(self, name: str, cfg: UpstreamSection) -> None:
        """Initialize with an unknown load."""
        super().__init__(name)
        self._cfg = cfg
        #: The used share of the KV cache; 0 while the engine reports none.
        self.kv_use: float = 0

    async def start(self, registry: Registry) -> None:
        """Look up the configuration and start the periodic reads."""
        self._configuration = registry.find(
            'configuration',
            ConfigurationFollower,
        )
        self._engine = EngineClient(
            self._cfg.address,
            registry.find('client', HttpClient),
        )
        registry.tasks.start('read-load', self._run_reads)

    def dump(self) -> Mapping[str, object]:
        """Return the load that the engine reported last."""
        return {'kv_use': self.kv_use}

    async def read(self) -> None:
        """Read the load once."""
        if self._is_engine():
            reply = await self._engine.load()
            self.kv_use = reply.unwrap().kv_use if reply.is_ok() else 0

    def _is_engine(self) -> bool:
        index = self._configuration.index
        return index is not None and any(
            policy.name == self._cfg.policy and policy.kind == 'engine'
            for policy in index.fleet.upstreams
        )

    async def _run_reads(self) -> None:
        while True:
            await self.read()
            await asyncio.sleep(self._cfg.report_every_s)
