"""Guards against accepted changes that are lost, and against stale reads.

Three control daemons with real files and sockets lose their leader during
changes, all restart at once, or one is stopped, isolated, or left with a wiped,
full or damaged disk. Connections go silent without being closed, and operators
apply different files with the same expected revision.
"""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
import unittest
from pathlib import Path

import psutil

from snipebend.state.messages import ApplyOutcome
from tests.daemons.control_group import (
    NAMES,
    ControlGroup,
    control_group,
    fleet_text,
    until,
)
from tests.programs import control_toml, start_daemon

#: Number of applies while leaders are killed; few in CI, more by hand.
APPLIES = int(os.environ.get('SNIPEBEND_APPLIES', '60'))


class ReplicatedControlTest(unittest.IsolatedAsyncioTestCase):
    """An accepted change survives the loss of one of three daemons."""

    def setUp(self) -> None:
        name = tempfile.TemporaryDirectory()
        self.addCleanup(name.cleanup)
        self.folder = Path(name.name)

    async def test_leader_killed_during_applies(self) -> None:
        async with control_group(self.folder) as group:
            await self.apply_while_killing_leaders(group)
            await group.kill(*NAMES)
            await group.start(*NAMES)
            for name in NAMES:
                self.assertEqual(await group.revision(name), APPLIES)

    async def test_racing_operators_with_equal_numbers(self) -> None:
        async with control_group(self.folder) as group:
            for expected in range(3):
                await self.race(group, expected)

    async def race(self, group: ControlGroup, expected: int) -> None:
        """Six operators apply at once; one wins, the others get its file."""
        replies = await asyncio.gather(
            *(
                group.apply(name, expected, fleet_text(number))
                for number, name in enumerate(NAMES * 2)
            ),
        )
        answered = [reply for reply in replies if reply is not None]
        self.assertEqual(len(answered), 6)
        winner = await group.show(NAMES[expected])
        self.assertEqual(winner.revision, expected + 1)
        lost = [reply for reply in answered if reply.text == winner.text]
        self.assertEqual(
            {reply.outcome for reply in lost}, {ApplyOutcome.CONFLICT}
        )
        self.assertEqual(len(lost), 5)
        self.assertIn(
            ApplyOutcome.ACCEPTED, {reply.outcome for reply in answered}
        )

    async def test_restart_of_all_after_hundreds_of_changes(self) -> None:
        async with control_group(self.folder) as group:
            for number in range(200):
                await self.apply_until_accepted(group, number)
            self.assertTrue(list((self.folder / 'c-1').glob('snapshot-*')))
            await group.kill(*NAMES)
            await group.start(*NAMES)
            for name in NAMES:
                shown = await group.show(name)
                self.assertEqual(shown.revision, 200)
                self.assertIn('queue_limit = 200', shown.text)
            again = await group.apply('c-1', 120, fleet_text(120), 'change-120')
            self.assertEqual(again.revision if again else 0, 121)

    async def test_stopped_leader_serves_no_stale_read(self) -> None:
        async with control_group(self.folder) as group:
            await self.apply_until_accepted(group, 0)
            old = await group.leader()
            others = [name for name in NAMES if name != old]
            group.programs[old].send(signal.SIGSTOP)
            asked = asyncio.create_task(group.revision(old))
            await group.leader(*others)
            reply = await group.apply(others[0], 1, fleet_text(1), 'change-1')
            self.assertEqual(reply.revision if reply else 0, 2)
            late = asyncio.create_task(group.revision(old))
            await asyncio.sleep(0)
            group.programs[old].send(signal.SIGCONT)
            self.assertIn(await asked, {None, 2})
            self.assertIn(await late, {None, 2})
            await until(lambda: self.is_at(group, old, 2))

    async def test_isolated_leader_with_clients_on_it(self) -> None:
        async with control_group(self.folder) as group:
            await self.apply_until_accepted(group, 0)
            old = await group.leader()
            others = [name for name in NAMES if name != old]
            group.proxies.cut(*((old, name) for name in others))
            stuck = asyncio.create_task(
                group.apply(old, 1, fleet_text(9), 'stuck'),
            )
            await group.leader(*others)
            reply = await group.apply(others[0], 1, fleet_text(1), 'change-1')
            self.assertEqual(reply.revision if reply else 0, 2)
            self.assertIsNone(await group.revision(old))
            self.assertIsNone(await stuck)
            group.proxies.heal()
            await until(lambda: self.is_at(group, old, 2))
            lost = await group.apply(old, 1, fleet_text(9), 'stuck')
            outcome = lost.outcome if lost else None
            self.assertIs(outcome, ApplyOutcome.CONFLICT)

    async def test_silent_connections_are_replaced(self) -> None:
        async with control_group(self.folder) as group:
            for number, name in enumerate(NAMES):
                group.proxies.silence(name)
                await self.apply_until_accepted(group, number)
            await group.wait_voters(*NAMES)
            await until(lambda: self.all_are_at(group, 3))

    async def test_wiped_disk_then_a_second_member_lost(self) -> None:
        async with control_group(self.folder) as group:
            for number in range(60):
                await self.apply_until_accepted(group, number)
            before = await group.wait_voters(*NAMES)
            wiped = await group.leader()
            await group.wipe(wiped)
            await group.start(wiped)
            replaced = {
                voter.member_id for voter in before if voter.name == wiped
            }
            after = await group.wait_voters(*NAMES, without=replaced)
            self.assertEqual(len(after), 3)
            second = [name for name in NAMES if name != wiped][0]
            await group.kill(second)
            await self.apply_until_accepted(group, 60)
            self.assertEqual(await group.revision(wiped), 61)

    async def test_full_disk_refuses_and_recovers(self) -> None:
        async with control_group(self.folder) as group:
            await self.apply_until_accepted(group, 0)
            full = await group.leader()
            process = psutil.Process(group.programs[full].process.pid)
            process.rlimit(psutil.RLIMIT_FSIZE, (10, -1))
            await self.apply_until_accepted(group, 1)
            others = [name for name in NAMES if name != full]
            # The change is stored on the others' disks, possibly before one of
            # them has become leader.
            await group.leader(*others)
            view = await group.describe(full)
            self.assertNotEqual(view.role, 'leader')
            process.rlimit(psutil.RLIMIT_FSIZE, (-1, -1))
            await group.kill(others[0])
            await self.apply_until_accepted(group, 2)
            self.assertEqual(await group.revision(full), 3)

    async def test_leader_hands_over_on_sigterm(self) -> None:
        async with control_group(self.folder) as group:
            await self.apply_until_accepted(group, 0)
            old = await group.leader()
            leaving = group.programs.pop(old)
            leaving.send(signal.SIGTERM)
            await self.apply_until_accepted(group, 1)
            self.assertEqual(await leaving.wait(), 0)
            log = '\n'.join(leaving.log)
            self.assertIn('role=follower', log.rpartition('event=draining')[2])

    async def all_are_at(self, group: ControlGroup, revision: int) -> bool:
        revisions = [await group.revision(name) for name in NAMES]
        return set(revisions) == {revision}

    async def is_at(
        self, group: ControlGroup, name: str, revision: int
    ) -> bool:
        return await group.revision(name) == revision

    async def apply_while_killing_leaders(self, group: ControlGroup) -> None:
        highest = dict.fromkeys(NAMES, 0)
        for number in range(APPLIES):
            if number % 20 == 10:
                leader = await group.leader()
                await group.kill(leader)
                await group.start(leader)
            reply = await self.apply_until_accepted(group, number)
            self.assertEqual(reply, number + 1)
            again = await self.apply_until_accepted(group, number)
            self.assertEqual(again, reply)
            name = NAMES[number % 3]
            revision = await group.revision(name) or highest[name]
            self.assertGreaterEqual(revision, highest[name])
            highest[name] = revision

    async def apply_until_accepted(
        self, group: ControlGroup, number: int
    ) -> int:
        """Resend one change through the daemons in turn until one replies."""
        for attempt in range(30):
            reply = await group.apply(
                NAMES[(number + attempt) % 3],
                number,
                fleet_text(number),
                f'change-{number}',
            )
            if reply is not None:
                self.assertIs(reply.outcome, ApplyOutcome.ACCEPTED)
                return reply.revision
            await asyncio.sleep(0.05)
        raise TimeoutError


class DamagedFolderTest(unittest.IsolatedAsyncioTestCase):
    """A daemon rejects a damaged or locked folder, with the reason."""

    async def test_damage_and_a_second_process_are_refused(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            toml = control_toml('alone', folder)
            first = await start_daemon('control', folder, 'alone', toml)
            with self.assertRaisesRegex(RuntimeError, 'in use by another'):
                await start_daemon('control', folder, 'alone', toml)
            self.assertEqual(await first.terminate(), 0)
            log = folder / 'alone' / 'log-00000001.seg'
            raw = bytearray(log.read_bytes())
            raw[20] ^= 1
            log.write_bytes(raw)
            with self.assertRaisesRegex(RuntimeError, 'damaged at offset 0'):
                await start_daemon('control', folder, 'alone', toml)
