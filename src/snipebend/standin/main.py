"""Runs a stand-in as a process: ``python -m snipebend.standin.main``."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from argparse import ArgumentParser, Namespace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvicorn
import uvloop

from snipebend.standin.app import build_engine_app
from snipebend.standin.engine import Engine
from snipebend.standin.service import build_service_app
from snipebend.standin.settings import EngineConfig

if TYPE_CHECKING:
    from collections.abc import Sequence

    from falcon.asgi import App

LOOPBACK = '127.0.0.1'
CRASH_CODE = 70


class PortFileServer(uvicorn.Server):
    """A server that writes its port to a file once it is listening."""

    def __init__(self, config: uvicorn.Config, port_file: Path | None) -> None:
        """Create the server; without a path, no file is written."""
        super().__init__(config)
        self._port_file = port_file

    async def startup(
        self,
        sockets: list[socket.socket] | None = None,
    ) -> None:
        """Start listening, then write the port file atomically."""
        await super().startup(sockets)
        if self._port_file is not None and sockets:
            partial = self._port_file.with_suffix('.partial')
            partial.write_text(str(sockets[0].getsockname()[1]))
            partial.replace(self._port_file)


def build_parser() -> ArgumentParser:
    """Build the argument parser; each setting of the engine is a flag."""
    parser = ArgumentParser(prog='snipebend.standin.main', description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--port-file', type=Path)
    parser.add_argument('--service', action='store_true')
    parser.add_argument('--delay-ms', type=float, default=0)
    for name, default in EngineConfig._field_defaults.items():
        flag = f'--{name.replace("_", "-")}'
        if isinstance(default, bool):
            parser.add_argument(flag, action='store_true')
        else:
            kind = float if name.endswith('_ms') else type(default)
            parser.add_argument(flag, type=kind, default=default)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Serve until SIGTERM or SIGINT, finish open requests and return 0."""
    options = build_parser().parse_args(argv)
    # After its shutdown, uvicorn raises the signal that stopped it again,
    # which must not kill the process: its exit code is to be 0.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(options))
    return 0


async def _serve(options: Namespace) -> None:
    config = uvicorn.Config(
        _build_app(options),
        http='httptools',
        lifespan='on',
        log_level='warning',
        access_log=False,
    )
    with socket.create_server((LOOPBACK, options.port)) as listener:
        server = PortFileServer(config, options.port_file)
        await server.serve(sockets=[listener])


def _build_app(options: Namespace) -> App[Any, Any]:
    if options.service:
        return build_service_app(options.delay_ms)
    flags = {name: getattr(options, name) for name in EngineConfig._fields}
    cfg = EngineConfig(**flags)
    clock = asyncio.get_running_loop().time
    engine = Engine(cfg, clock=clock, on_crash=_exit_immediately)
    return build_engine_app(cfg, engine)


def _exit_immediately() -> None:
    os._exit(CRASH_CODE)


if __name__ == '__main__':
    sys.exit(main())
