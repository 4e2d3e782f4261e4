"""Step 3: a restart from old to new, daemon by daemon, under writes."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from itertools import count, cycle
from typing import TYPE_CHECKING

from tests.upgrades import contents
from tests.upgrades.control_group import NAMES, SNAPSHOT_EVERY, control_group
from tests.upgrades.waiting import CALL_FAILURES, until
from tests.upgrades.wire import call

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from tests.upgrades.builds import Build
    from tests.upgrades.contents import Request
    from tests.upgrades.control_group import ControlGroup
    from tests.upgrades.reporting import Report, Step

#: Writes while a daemon is away: more than the log keeps without a snapshot.
_AWAY = 2 * SNAPSHOT_EVERY


class Writer:
    """Claims and settles keys through all daemons in turn."""

    def __init__(self, group: ControlGroup) -> None:
        """Begin with nothing acknowledged."""
        self.group = group
        self.acknowledged: list[str] = []
        self.refused = 0
        self._turns = cycle(NAMES)

    async def run(self) -> None:
        """Write until cancelled."""
        for number in count():
            key = f'key-{number}'
            await self._send(contents.claim(key, f'r-{key}'))
            answer = {**contents.ANSWER, 'body': key.encode()}
            await self._send(contents.settle(key, f'r-{key}', 'ran', answer))
            self.acknowledged.append(key)

    async def wait_more(self, number: int) -> None:
        """Wait until so many more keys are acknowledged."""
        aim = len(self.acknowledged) + number

        async def look() -> bool:
            return len(self.acknowledged) >= aim

        await until(f'{aim} writes', look)

    async def _send(self, req: Request) -> None:
        """Send through one daemon after the other until one acknowledges."""
        while True:
            address = self.group.address(next(self._turns))
            try:
                await call(address, req.path, req.fields)
            except CALL_FAILURES:
                self.refused += 1
                await asyncio.sleep(0)
            else:
                return


async def check_rolling(
    old: Build, new: Build, folder: Path, report: Report
) -> None:
    """Restart forth to the new build, then back to the old one."""
    for first, then in ((old, new), (new, old)):
        name = f'rolling-{first.name}-to-{then.name}'
        with report.step(name, 'acknowledged writes read again') as step:
            await _run(first, then, folder / name, step)


async def _run(first: Build, then: Build, folder: Path, step: Step) -> None:
    async with control_group(folder, dict.fromkeys(NAMES, first)) as group:
        writer = Writer(group)
        async with _writing(writer):
            for name in NAMES:
                await writer.wait_more(_AWAY)
                step.equal(f'{name} ends', 0, await group.stop(name))
                await writer.wait_more(_AWAY)
                group.builds[name] = then
                await group.start(name)
            await writer.wait_more(_AWAY)
        await group.wait_level()
        for name in NAMES:
            await _read_again(group, name, writer, step)
    step.text = (
        f'{len(writer.acknowledged)} acknowledged keys read again at each '
        f'daemon, {writer.refused} calls refused meanwhile'
    )


async def _read_again(
    group: ControlGroup, name: str, writer: Writer, step: Step
) -> None:
    for key in writer.acknowledged:
        asked = contents.claim(key, 'asker')
        reply = await call(group.address(name), asked.path, asked.fields)
        body = (reply['answer'] or {}).get('body')
        expected = ['ran', key.encode().hex()]
        got = [reply['verdict'], body.hex() if body else '']
        step.equal(f'{name} {key}', expected, got)


@asynccontextmanager
async def _writing(writer: Writer) -> AsyncIterator[None]:
    task = asyncio.create_task(writer.run())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait((task,))
    if not task.cancelled():
        task.result()
