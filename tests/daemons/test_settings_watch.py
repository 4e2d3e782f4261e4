"""A changed settings file must take effect, an invalid one must not.

An operator changes the file of a running process, with or without SIGHUP, and
may save an invalid version before a valid one.
"""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
import unittest
from pathlib import Path

from snipebend.daemons.settings_watch import SettingsWatch
from snipebend.kernel.process import Process
from snipebend.kernel.service import Service
from snipebend.settings.model import DaemonSettings

FILE = '[process]\nname = "{0}"\ndata_center = "dc"\n'


class Listener(Service):
    """Records the process names of reloaded settings."""

    def __init__(self) -> None:
        super().__init__('listener')
        self.names = asyncio.Queue()

    async def reload(self, cfg):
        self.names.put_nowait(cfg.process.name)


class TestSettingsWatch(unittest.IsolatedAsyncioTestCase):
    """Settings reload on SIGHUP or a changed file, unless it is invalid."""

    async def asyncSetUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / 'settings.toml'
        self.path.write_text(FILE.format('first'))
        self.listener = Listener()
        self.process = Process('p', [self.listener])
        watch = SettingsWatch(self.path, DaemonSettings, self.process)
        self.process.registry.register(watch)
        await self.process.start()
        self.addAsyncCleanup(self.process.stop)

    async def next_name(self):
        return await asyncio.wait_for(self.listener.names.get(), 10)

    async def test_by_signal(self):
        self.path.write_text(FILE.format('second'))
        os.kill(os.getpid(), signal.SIGHUP)
        self.assertEqual(await self.next_name(), 'second')

    async def test_without_a_signal(self):
        self.path.write_text(FILE.format('second'))
        self.assertEqual(await self.next_name(), 'second')

    async def test_invalid_file_changes_nothing(self):
        self.path.write_text('[process]\nname = 1\n')
        os.kill(os.getpid(), signal.SIGHUP)
        self.path.write_text(FILE.format('third'))
        os.kill(os.getpid(), signal.SIGHUP)
        self.assertEqual(await self.next_name(), 'third')
        self.assertTrue(self.listener.names.empty())
