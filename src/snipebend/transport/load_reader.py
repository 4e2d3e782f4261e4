"""The agent's look at the load that its engine reports."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING

from snipebend.kernel.service import Service
from snipebend.transport.engine_client import EngineClient
from snipebend.transport.configuration_follower import ConfigurationFollower
from snipebend.transport.forward import HttpClient

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import UpstreamSection


class LoadReader(Service):
    """Asks an engine for its load as often as the agent announces it.

    A plain service is never asked, nor an engine before its policy is known.
    """

    def __init__(self, name: str, cfg: UpstreamSection) -> None:
        """Keep the settings."""
        super().__init__(name)
        self._cfg = cfg
        #: The used share of the KV cache; 0 while the engine doesn't tell.
        self.kv_use: float = 0

    async def start(self, registry: Registry) -> None:
        """Find the configuration and begin to ask."""
        self._configuration = registry.find(
            'configuration',
            ConfigurationFollower,
        )
        self._engine = EngineClient(
            self._cfg.address,
            registry.find('client', HttpClient),
        )
        registry.tasks.start('read-load', self._read_for_ever)

    def dump(self) -> Mapping[str, object]:
        """Return what the engine said last."""
        return {'kv_use': self.kv_use}

    async def read(self) -> None:
        """Ask once."""
        if self._is_engine():
            answer = await self._engine.load()
            self.kv_use = answer.unwrap().kv_use if answer.is_ok() else 0

    def _is_engine(self) -> bool:
        index = self._configuration.index
        return index is not None and any(
            policy.name == self._cfg.policy and policy.kind == 'engine'
            for policy in index.fleet.upstreams
        )

    async def _read_for_ever(self) -> None:
        while True:
            await self.read()
            await asyncio.sleep(self._cfg.report_every_s)
