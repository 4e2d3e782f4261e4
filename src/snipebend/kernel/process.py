"""Life cycle of a process: start services, wait for a signal, stop them."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor

if TYPE_CHECKING:
    from collections.abc import Sequence

    from snipebend.kernel.clock import Clock
    from snipebend.kernel.service import Service


class Process:
    """Starts, reloads and gracefully stops the services of one process."""

    def __init__(
        self,
        name: str,
        services: Sequence[Service],
        *,
        clock: Clock | None = None,
    ) -> None:
        """Register the services; they start in the given order."""
        self.name = name
        self.registry = Registry(clock or SystemClock(), TaskSupervisor())
        self._stopping = asyncio.Event()
        for service in services:
            self.registry.register(service)

    def ready(self) -> bool:
        """Return whether the process accepts new work."""
        if self._stopping.is_set():
            return False
        return all(service.ready() for service in self.registry)

    def dump(self) -> dict[str, object]:
        """Return the state of all services by service name."""
        state: dict[str, object] = {
            'process': self.name,
            'ready': self.ready(),
            'tasks': list(self.registry.tasks.names()),
        }
        for service in self.registry:
            state[service.name] = dict(service.dump())
        return state

    async def reload(self, cfg: object) -> None:
        """Pass changed settings to all services."""
        logger.info('event=reloaded process={}', self.name)
        for service in self.registry:
            await service.reload(cfg)

    def request_stop(self) -> None:
        """Request a graceful stop; calling it again has no effect."""
        self._stopping.set()

    async def start(self) -> None:
        """Start all services."""
        for service in self.registry:
            await service.start(self.registry)
        logger.info('event=started process={}', self.name)

    async def stop(self) -> None:
        """Drain all services concurrently, then stop them in reverse order."""
        self._stopping.set()
        logger.info('event=draining process={}', self.name)
        services = tuple(self.registry)
        await asyncio.gather(*(service.drain() for service in services))
        for service in reversed(services):
            await service.stop()
        await self.registry.tasks.stop()
        logger.info('event=stopped process={}', self.name)

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.request_stop)
        try:
            await self.start()
            await self._stopping.wait()
        finally:
            await self.stop()
