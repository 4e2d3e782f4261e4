"""Reloads settings on SIGHUP and when the settings file changes."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Generic, TypeVar

from loguru import logger

from snipebend.kernel.service import Service
from snipebend.settings.loading import parse_settings
from snipebend.settings.model import DaemonSettings

if TYPE_CHECKING:
    from pathlib import Path

    from snipebend.kernel.process import Process
    from snipebend.kernel.registry import Registry

AnySettings = TypeVar('AnySettings', bound=DaemonSettings)

#: Seconds between checks of the file, for changes without a SIGHUP.
POLL_INTERVAL_S = 1.0


class SettingsWatch(Service, Generic[AnySettings]):
    """Reloads the process with changed settings; ignores an invalid file."""

    def __init__(
        self, path: Path, model: type[AnySettings], process: Process
    ) -> None:
        """Watch the file at ``path`` for changes."""
        super().__init__('settings-watch')
        self._path = path
        self._model = model
        self._process = process
        self._text = ''
        self._signalled = asyncio.Event()

    async def start(self, registry: Registry) -> None:
        """Handle SIGHUP and start watching the file."""
        self._text = self._read()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._signalled.set)
        registry.tasks.start('settings-watch', self._watch)

    async def _watch(self) -> None:
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._signalled.wait()
            except TimeoutError:
                await self._reload_if_changed()
                continue
            self._signalled.clear()
            logger.info('event=reload_asked path={}', self._path)
            await self._reload_if_changed()

    async def _reload_if_changed(self) -> None:
        text = self._read()
        if text == self._text:
            return
        self._text = text
        parsed = parse_settings(text, self._path, self._model)
        if parsed.is_err():
            logger.error(
                'event=settings_refused error={!r}',
                parsed.unwrap_err().message,
            )
            return
        await self._process.reload(parsed.unwrap())

    def _read(self) -> str:
        try:
            return self._path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as exc:
            logger.error('event=settings_unreadable error={!r}', str(exc))
            return self._text
