"""Reads of all that was written, each answer under a name."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from aiohttp import ClientSession
from msgspec import msgpack

from tests.upgrades import contents, paths
from tests.upgrades.comparing import still
from tests.upgrades.waiting import until
from tests.upgrades.wire import call, feed, first

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator
    from pathlib import Path

    from tests.upgrades.builds import Build
    from tests.upgrades.contents import Request
    from tests.upgrades.control_group import ControlGroup

#: Seconds between two announcements, as agents make them.
ANNOUNCE_EVERY_S = 0.3


def lookups(part: str) -> list[Request]:
    """Return requests that any daemon answers, and that change nothing."""
    groups = ('held', 'released', 'map', 'aborted', 'none')
    read = [
        contents.Request(
            f'{path} {part}-{end}', path, {'group': f'{part}-{end}'}
        )
        for path in (paths.READ_FENCE, paths.READ_MAP)
        for end in groups
    ]
    ends = ('open', 'ran', 'not', 'unknown', 'many-0', 'many-89')
    claimed = [contents.claim(f'{part}-{end}', 'asker') for end in ends]
    return [
        *read,
        *claimed,
        contents.claim(f'{part}-open', f'r-{part}-open'),
        contents.claim(f'{part}-open', 'asker', 'another print'),
        contents.settle(f'{part}-ran', f'r-{part}-ran', 'unknown'),
        contents.settle(f'{part}-none', 'r', 'ran'),
        contents.fence(f'{part}-held', 'other'),
        contents.Request('suspects', paths.SUSPECTS, {'process': 'upgrade'}),
    ]


def leader_lookups(part: str) -> list[Request]:
    """Return commands that come too late to change anything."""
    late = {'identity': f'{part}-i', 'service': 's', 'address': ''}
    late.update(data_center='', slots=0, phase=0)  # type: ignore[arg-type]
    return [
        contents.plan(f'{part}-plan', 1, 0),
        contents.forwarded('PutDocument', {'number': 1, 'body': b''}),
        contents.forwarded('RecordUpstream', {'upstream': late}),
    ]


async def read_daemon(
    group: ControlGroup, name: str, parts: tuple[str, ...], asker: Build
) -> dict[str, Any]:
    """Return one daemon's answer to every read."""
    address = group.address(name)
    answers: dict[str, Any] = {}
    for part in parts:
        for req in lookups(part):
            answers[req.name] = await call(address, req.path, req.fields)
    answers['hello'] = await call(address, paths.HELLO, {'name': 'upgrade'})
    answers['group'] = await call(address, paths.DESCRIBE, {})
    for revision in (0, 1):
        watch = {'process': '', 'revision': revision, 'full': not revision}
        told = await first(address, paths.WATCH, watch)
        answers[f'watch after {revision}'] = told
    async with announcing(address, parts, group.announced):
        answers.update(await _read_announced(address, asker))
        answers['dump'] = await read_dump(group.admin(name))
    return {asked: still(answer) for asked, answer in answers.items()}


async def _read_announced(address: str, asker: Build) -> dict[str, Any]:
    """Return the answers that list upstreams."""
    asked = {'process': 'upgrade', 'revision': 0}
    return {
        'show': await call(address, paths.SHOW, {}),
        'directory': await call(address, paths.DIRECTORY, asked),
        'directory-delta': await first(address, paths.WATCH_DIRECTORY, asked),
        'status': await _console(asker, 'status', '--control', address),
        'shown': await _console(asker, 'show', '--control', address),
    }


async def read_leader(
    group: ControlGroup, parts: tuple[str, ...]
) -> dict[str, Any]:
    """Return the leader's answers to what only it answers."""
    address = group.address(await group.leader())
    answers = {}
    for part in parts:
        for req in leader_lookups(part):
            reply = await call(address, req.path, req.fields)
            answers[f'{part} {req.name}'] = still(
                msgpack.decode(reply['reply'])
            )
    answers['group-status'] = await until(
        'the status of groups', lambda: _group_fields(address)
    )
    return answers


async def _group_fields(address: str) -> dict[str, list[str]]:
    """Return the fields that are reported for each group."""
    reply = await call(address, paths.GROUP_STATUS, {})
    return {told['group']: sorted(told) for told in reply['groups']}


async def read_changes(
    group: ControlGroup, name: str, parts: tuple[str, ...], examples: list[Path]
) -> dict[str, Any]:
    """Return the first answers to the changes of the configuration."""
    address = group.address(name)
    answers = {}
    for part in parts:
        for number, example in enumerate(examples):
            text = contents.fleet_text(example)
            for change in (f'{part}-{number}', f'{part}-{number}-late'):
                reply = await contents.apply(address, change, text, 0)
                answers[f'change {change}'] = still(reply)
    return answers


async def read_dump(admin: str) -> Any:
    """Return a process's administrative dump."""
    async with ClientSession() as session:
        async with session.get(f'http://{admin}/dump') as resp:
            return await resp.json()


async def read_group(
    group: ControlGroup,
    parts: tuple[str, ...],
    examples: list[Path],
    asker: Build,
) -> dict[str, Any]:
    """Return all answers of all daemons, by daemon."""
    answers = {'leader': await read_leader(group, parts)}
    for name in group.programs:
        changes = await read_changes(group, name, parts, examples)
        await group.wait_level()
        read = await read_daemon(group, name, parts, asker)
        answers[name] = {**changes, **read}
    return answers


@asynccontextmanager
async def announcing(
    address: str, parts: tuple[str, ...], numbers: Iterator[int]
) -> AsyncIterator[None]:
    """Announce upstreams all the time: they are forgotten within seconds."""
    await _announce(address, parts, next(numbers))
    task = asyncio.create_task(_announce_on(address, parts, numbers))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.wait((task,))


async def _announce_on(
    address: str, parts: tuple[str, ...], numbers: Iterator[int]
) -> None:
    while True:
        await asyncio.sleep(ANNOUNCE_EVERY_S)
        await _announce(address, parts, next(numbers))


async def _announce(address: str, parts: tuple[str, ...], number: int) -> None:
    told = [
        announcement
        for part in parts
        for announcement in contents.announcements_of(part, number)
    ]
    await feed(address, paths.ANNOUNCE, told)


async def _console(asker: Build, command: str, *arguments: str) -> Any:
    printed = await asker.console(command, '--json', *arguments)
    if printed.code:
        return {'code': printed.code, 'err': printed.err}
    return json.loads(printed.out)
