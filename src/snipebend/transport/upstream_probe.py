"""Probes an agent's upstream with periodic small requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import ClientConnectorError, ClientError
from loguru import logger

from snipebend.kernel.service import Service
from snipebend.membership.upstream_health import UpstreamHealth
from snipebend.transport.forward import HttpClient, OutgoingRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import UpstreamSection

#: Path of the probe; any response, even 404, shows that the upstream is up.
PROBE_PATH = '/healthz'

#: Seconds between two probes.
PROBE_INTERVAL_S = 0.5

#: Time-out of one probe.
PROBE_TIMEOUT_S = 1.0


class UpstreamProbe(Service):
    """Tracks whether the upstream responds."""

    def __init__(self, name: str, cfg: UpstreamSection) -> None:
        """Initialize with the settings of the upstream."""
        super().__init__(name)
        self._cfg = cfg

    async def start(self, registry: Registry) -> None:
        """Start the periodic probes."""
        self._clock = registry.clock
        self._client = registry.find('client', HttpClient)
        self._health = UpstreamHealth(
            self._cfg.silent_after_s,
            self._clock.now(),
        )
        self._was_down = False
        self._task = registry.tasks.start(
            'probe-upstream',
            self._run_probes,
        )

    async def stop(self) -> None:
        """Stop the probes before the pools of the client are closed."""
        self._task.cancel()

    def is_down(self) -> bool:
        """Return whether the upstream is unresponsive or refused a probe."""
        return self._health.is_down(self._clock.now())

    def dump(self) -> Mapping[str, object]:
        """Return whether the upstream is down."""
        return {'down': self.is_down()}

    async def _run_probes(self) -> None:
        while True:
            await self._probe()
            self._log_change()
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self) -> None:
        peer = self._cfg.address
        outgoing = OutgoingRequest('GET', peer, PROBE_PATH, {}, b'')
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                async with self._client.send(outgoing):
                    self._health.record_response(self._clock.now())
        except ClientConnectorError:
            self._health.record_refusal(self._clock.now())
        except (ClientError, OSError, TimeoutError):
            # The connection itself may be dead: the next probe opens a new one.
            await self._client.retire(peer)

    def _log_change(self) -> None:
        is_down = self.is_down()
        if is_down is not self._was_down:
            self._was_down = is_down
            logger.warning(
                'event=upstream_health peer={} down={}',
                self._cfg.address,
                is_down,
            )
