"""``apply --wait`` and ``status`` must report the state of faulty processes.

An entry is stopped, a quorum of control is lost, or the daemon that an entry
follows is isolated. A revision must not count as in force while an entry with a
valid lease lacks it, and an entry must not be ready after its lease expired.
"""

from __future__ import annotations

import asyncio
import io
import signal
import tempfile
import unittest
from contextlib import AsyncExitStack, redirect_stdout
from pathlib import Path
from typing import Any

from aiohttp import ClientSession

from snipebend.console.application import main
from tests.daemons.control_group import (
    NAMES,
    control_group,
    fleet_text,
    until,
)
from tests.programs import Program, entry_toml, start_daemon


async def console(*arguments: str) -> tuple[int, str]:
    """Run a command in a thread; return its exit code and its output."""
    out = io.StringIO()

    def run() -> int:
        with redirect_stdout(out):
            return main(list(arguments))

    code = await asyncio.to_thread(run)
    return code, out.getvalue()


class InForceTest(unittest.IsolatedAsyncioTestCase):
    """Entries confirm a revision; ``apply`` names those that have not.

    An entry that is stopped is waited for until its lease expires.
    """

    async def asyncSetUp(self) -> None:
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        name = stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = Path(name)
        group = await stack.enter_async_context(control_group(self.folder))
        self.group = group
        self.control = ','.join(group.addresses())
        self.entries: list[Program] = []
        for name in ('e-1', 'e-2'):
            toml = entry_toml(name, self.control)
            entry = await start_daemon('entry', self.folder, name, toml)
            stack.push_async_callback(entry.kill)
            self.entries.append(entry)

    async def apply(
        self, number: int, wait_s: str, lease_s: float = 3
    ) -> tuple[int, str]:
        path = self.folder / 'fleet.toml'
        lease = f'[routing]\nconfig_lease_s = {lease_s:.1f}'
        path.write_text(f'{fleet_text(number)}\n{lease}\n', 'utf-8')
        options = ('--control', self.control, '--wait', wait_s)
        return await console('apply', str(path), *options)

    async def test_wait_names_unconfirmed_entries(self) -> None:
        code, printed = await self.apply(0, '15')
        self.assertEqual(code, 0, printed)
        self.assertIn('in force everywhere: 2 processes', printed)
        self.entries[0].send(signal.SIGSTOP)
        code, printed = await self.apply(1, '1')
        self.assertEqual(code, 1)
        self.assertIn('not confirmed: e-1 has revision 1', printed)
        self.assertNotIn('e-2', printed)
        code, printed = await self.apply(2, '15')
        self.assertEqual(code, 0, printed)
        self.assertIn('in force everywhere: 1 processes', printed)
        self.assertIn('silent, its lease is over: e-1', printed)
        self.entries[0].send(signal.SIGCONT)

    async def test_status_shows_the_group(self) -> None:
        code, printed = await console('status', '--control', self.control)
        self.assertEqual(code, 0)
        self.assertEqual(printed.count('caught_up=yes'), len(NAMES))
        self.assertEqual(printed.count('role=leader'), 1)

    async def test_lease_and_readiness_end_without_a_quorum(self) -> None:
        code, printed = await self.apply(0, '15')
        self.assertEqual(code, 0, printed)
        await until(lambda: self.is_ready(expected=True))
        leader = await self.group.leader()
        others = [name for name in NAMES if name != leader]
        await self.group.kill(*others)
        await until(lambda: self.is_ready(expected=False))
        await self.group.start(others[0])
        await until(lambda: self.is_ready(expected=True))

    async def test_watchers_leave_an_isolated_daemon_before_their_lease_expires(
        self,
    ) -> None:
        code, printed = await self.apply(0, '15', lease_s=8)
        self.assertEqual(code, 0, printed)
        await until(lambda: self.is_ready(expected=True))
        dump = await self.dump()
        followed = self.group.name_at(dump['configuration']['control'])
        others = [name for name in NAMES if name != followed]
        self.group.proxies.cut(*((followed, name) for name in others))
        reply = None
        while reply is None:
            text = fleet_text(7)
            reply = await self.group.apply(others[0], 1, text, 'change')
        while not await self.has_revision(2):
            self.assertTrue(await self.is_ready(expected=True))
            await asyncio.sleep(0.05)

    async def has_revision(self, revision: int) -> bool:
        dump = await self.dump()
        return bool(dump['configuration']['revision'] == revision)

    async def is_ready(self, *, expected: bool) -> bool:
        dump = await self.dump()
        expired = dump['configuration']['lease_left_s'] <= 0
        self.assertFalse(expired and dump['ready'])
        return bool(dump['ready'] is expected)

    async def dump(self) -> Any:
        address = self.entries[0].addresses['admin']
        async with ClientSession() as session:
            async with session.get(f'http://{address}/dump') as resp:
                return await resp.json()
