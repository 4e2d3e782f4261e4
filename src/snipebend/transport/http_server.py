"""An HTTP listener: ``uvicorn`` as a service of the kernel."""

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
    """Leaves the signals to the process, which drains before it stops."""

    def install_signal_handlers(self) -> None:
        """Install nothing."""


class HttpServer(Service):
    """Serves one ASGI application on one address."""

    def __init__(self, name: str, host: str, port: int) -> None:
        """Keep the address; port 0 lets the system choose."""
        super().__init__(name)
        self._host = host
        self._port = port
        self._app: Any = None
        self._server: _QuietServer | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return ``host:port`` once the server listens."""
        return f'{self._host}:{self._port}'

    def serve(self, app: Any) -> None:
        """Set the application; only before the start."""
        self._app = app

    async def start(self, registry: Registry) -> None:
        """Listen and serve."""
        sock = open_listener(self._host, self._port)
        self._port = sock.getsockname()[1]
        self._server = _QuietServer(_configuration(self._app))
        self._task = asyncio.create_task(self._serve(sock), name=self.name)
        logger.info('event=listening proto=http address={}', self.address)

    async def stop(self) -> None:
        """Stop accepting and wait until the last answer is written."""
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
            # Not ``serve``: that one takes over the process's signals.
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
