"""Start-up shared by all daemons: arguments, settings, logs, event loop."""

from __future__ import annotations

import json
import sys
from argparse import ArgumentParser
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Protocol, TypeVar

import uvloop

from snipebend.daemons.settings_watch import SettingsWatch
from snipebend.errors.hierarchy import SnipebendError
from snipebend.kernel.clock import SystemClock
from snipebend.kernel.process import Process
from snipebend.kernel.registry import Registry
from snipebend.kernel.service import Service
from snipebend.settings.loading import EXIT_BAD_INPUT, load_settings
from snipebend.settings.model import DaemonSettings, ListenSection
from snipebend.telemetry.logs import set_up_logs
from snipebend.telemetry.metrics import set_up_metrics
from snipebend.transport.admin import build_admin_app
from snipebend.transport.http_server import HttpServer

AnySettings = TypeVar('AnySettings', bound=DaemonSettings)

_EPILOG = (
    'exit codes: 0 after a graceful stop (SIGTERM, SIGINT), '
    + '1 when it cannot go on, 2 when the settings are wrong'
)

#: Exit code of a daemon that can't start or continue, e.g. a damaged file.
EXIT_FAILED = 1


class HasAddress(Protocol):
    """A server with a known listen address."""

    @property
    def address(self) -> str:
        """Return ``host:port``."""


class PortsFile(Service):
    """Writes the listen addresses to a file once all servers listen.

    Scripts read them when the system has chosen the ports.
    """

    def __init__(self, path: str, servers: Mapping[str, HasAddress]) -> None:
        """Write to ``path`` on start; an empty path disables the file."""
        super().__init__('ports-file')
        self._path = path
        self._servers = servers

    async def start(self, registry: Registry) -> None:
        """Write the file atomically, so that readers never see a part of it."""
        if not self._path:
            return
        addresses = {
            name: server.address for name, server in self._servers.items()
        }
        partial = Path(f'{self._path}.partial')
        partial.write_text(json.dumps(addresses), encoding='utf-8')
        partial.replace(self._path)


def run_daemon(
    program: str,
    description: str,
    model: type[AnySettings],
    build: Callable[[AnySettings], Process],
    arguments: list[str] | None = None,
    began_at: float | None = None,
) -> int:
    """Load the settings, build the process and run it until a signal.

    ``began_at`` is the start time of this process; ``None`` means now.
    """
    clock = SystemClock(began_at)
    parser = ArgumentParser(program, description=description, epilog=_EPILOG)
    parser.add_argument('settings', type=Path, help='the TOML settings file')
    path: Path = parser.parse_args(arguments).settings
    loaded = load_settings(path, model)
    if loaded.is_err():
        sys.stderr.write(f'{loaded.unwrap_err().message}\n')
        return EXIT_BAD_INPUT
    cfg = loaded.unwrap()
    writer = set_up_logs(
        cfg.process.name, cfg.log.level, as_json=cfg.log.format == 'json'
    )
    set_up_metrics(cfg.process.name)
    process = build(cfg)
    process.registry.clock = clock
    process.registry.register(SettingsWatch(path, model, process))
    try:
        uvloop.run(process.run())
    except SnipebendError as exc:
        sys.stderr.write(f'{program}: {exc}\n')
        return EXIT_FAILED
    finally:
        writer.close()
    return 0


def build_admin(listen: ListenSection) -> HttpServer:
    """Build the listener of the administrative interface."""
    return HttpServer('admin', listen.host, listen.admin_port)


def connect_admin(process: Process, admin: HttpServer) -> Process:
    """Serve the process's state on its administrative interface."""
    admin.serve(build_admin_app(process))
    return process
