"""Runs the stand-in engine within the current process, on a free port."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.kernel.clock import SystemClock
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.standin.app import build_engine_app
from snipebend.standin.engine import Engine
from snipebend.standin.settings import EngineConfig
from snipebend.transport.http_server import HttpServer

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

_HOST = '127.0.0.1'


class EmbeddedEngine:
    """An engine that serves HTTP within an ``async with`` block."""

    def __init__(self, cfg: EngineConfig | None = None) -> None:
        """Store the engine's settings, by default those of ``EngineConfig``."""
        self._cfg = cfg or EngineConfig()
        self._server = HttpServer('engine', _HOST, 0)

    @property
    def address(self) -> str:
        """Return ``host:port`` of the running engine."""
        return self._server.address

    async def __aenter__(self) -> Self:
        """Start the server."""
        clock = SystemClock()
        self._engine = Engine(
            self._cfg, clock=clock.now, on_crash=_ignore_crash
        )
        self._server.serve(build_engine_app(self._cfg, self._engine))
        await self._server.start(Registry(clock, TaskSupervisor()))
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the server."""
        await self._server.stop()


def _ignore_crash() -> None:
    """Keep the current process running after the engine has crashed."""
