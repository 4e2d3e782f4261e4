"""Runs ``uvicorn`` as a kernel service that serves HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from loguru import logger
from uvicorn import Config, Server

from snipebend.kernel.service import Service
from snipebend.transport.listeners import BACKLOG, open_listener

if TYPE_CHECKING:
    import socket
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry


class _QuietServer(Server):
    """Server without signal handlers: the process drains before it stops."""

    def install_signal_handlers(self) -> None:
        """Do nothing, so that the process keeps its signal handlers."""


class HttpServer(Service):
    """Serves one ASGI application on one address."""

    def __init__(self, name: str, host: str, port: int) -> None:
        """Initialize with an address; with port 0 the system chooses one."""
        super().__init__(name)
        self._host = host
        self._port = port
        self._app: Any = None
        self._server: _QuietServer | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``; the port is final once the server listens."""
        return f'{self._host}:{self._port}'

    def serve(self, app: Any) -> None:
        """Set the application; must be called before ``start``."""
        self._app = app

    async def start(self, registry: Registry) -> None:
        """Open the listening socket and start serving."""
        sock = open_listener(self._host, self._port)
        self._port = sock.getsockname()[1]
        self._server = _QuietServer(_configuration(self._app))
        self._task = asyncio.create_task(self._serve(sock), name=self.name)
        logger.info('event=listening proto=http address={}', self.address)

    async def stop(self) -> None:
        """Stop accepting and wait until the last response is written."""
        if self._server is None or self._task is None:
            return
        self._server.should_exit = True
        await self._task

    def dump(self) -> Mapping[str, object]:
        """Return the address and the number of open connections."""
        state = self._server.server_state if self._server else None
        connections = len(state.connections) if state else 0
        return {'address': self.address, 'connections': connections}

    async def _serve(self, sock: socket.socket) -> None:
        if self._server is not None:
            # The public ``serve`` would replace the signal handlers of the
            # process.
            await self._server._serve([sock])


def _configuration(app: Any) -> Config:
    return Config(
        app,
        log_config=None,
        log_level='critical',
        access_log=False,
        server_header=False,
        date_header=False,
        lifespan='off',
        proxy_headers=False,
        http='httptools',
        backlog=BACKLOG,
        timeout_graceful_shutdown=None,
    )
