"""Writes and reads of the platform's control daemons."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from msgspec import msgpack

from tests.upgrades import contents, paths
from tests.upgrades.comparing import still
from tests.platform.upgrade_group import GET, PUT, config
from tests.upgrades.waiting import until
from tests.upgrades.wire import call, first

if TYPE_CHECKING:
    from tests.platform.upgrade_group import PlatformGroup

_WATCHES = MappingProxyType(
    {
        'news': {},
        'news of one that fetches': {'fetches': True, 'keeps_groups': True},
        'news of one that has some': {'number': 9, 'roster_revision': 2},
    }
)

#: More than the templates' daemons write between two snapshots.
MANY = 1100


async def write_platform_part(group: PlatformGroup) -> int:
    """Put documents and announce upstreams; return how many writes."""
    turns = group.place.controls
    for one, version in zip(turns, (4, 9, 7), strict=True):
        await group.call(one, PUT, config(version, 's-1', 's-2'))
    lives: tuple[dict[str, object], ...] = (
        {},
        {'state': 'draining'},
        {'born': 12},
    )
    for life in range(4):
        host = turns[life % len(turns)]
        address = f'127.0.0.1:{9000 + life}'
        told = {'service': 's-1', 'address': address}
        for fields in lives[: life + 1]:
            await group.beat(host, f'i-{life}', **told, **fields)
    ended = msgpack.encode({'born': 12})
    await group.call(turns[0], '/-/replicas/i-3/deregister', ended)
    leader = await _leader(group)
    plans = [contents.plan('platform', 1, 0), contents.plan('platform', 2, 1)]
    many = [contents.claim(f'p-{number}', 'r') for number in range(MANY)]
    commands = [
        contents.forwarded('Claim', dict(claimed.fields)) for claimed in many
    ]
    for req in (*plans, *commands):
        await call(leader, req.path, req.fields)
    return 3 + 9 + 1 + len(plans) + len(commands)


async def read_platform(group: PlatformGroup) -> dict[str, Any]:
    """Return all answers of all daemons, by daemon."""
    leader = await _leader(group)
    reply = await call(
        leader, paths.FORWARD, contents.plan('platform', 1, 0).fields
    )
    answers = {'leader': {'plan': still(msgpack.decode(reply['reply']))}}
    await until('all daemons level', lambda: _level(group))
    for host in group.place.controls:
        answers[host] = still(await _read_one(group, host))
    return answers


async def _read_one(group: PlatformGroup, host: str) -> dict[str, Any]:
    address = f'{host}:{group.place.grpc}'
    answers: dict[str, Any] = {
        'dump': await group.dump(host),
        'get': await group.call(host, GET),
    }
    for name, fields in _WATCHES.items():
        watch = {'process': 'upgrade', 'number': 0, 'roster_revision': 0}
        news = await first(address, paths.WATCH_HOSTS, {**watch, **fields})
        answers[name] = news
    part = await call(address, paths.FETCH_PART, {'number': 9, 'size': 4096})
    answers['part'] = part
    answers['hello'] = await call(address, paths.HELLO, {'name': 'upgrade'})
    answers['group'] = await call(address, paths.DESCRIBE, {})
    return answers


async def _level(group: PlatformGroup) -> bool:
    dumps = [await group.dump(host) for host in group.place.controls]
    states = [one['state'] for one in dumps]
    applied = {state['applied_index'] for state in states}
    return len(applied | {state['commit_index'] for state in states}) == 1


async def _leader(group: PlatformGroup) -> str:
    async def look() -> str:
        for host in group.place.controls:
            if (await group.dump(host))['state']['role'] == 'leader':
                return f'{host}:{group.place.grpc}'
        return ''

    return await until('a leader', look)
