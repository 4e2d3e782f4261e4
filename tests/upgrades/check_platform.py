"""Step 6: the platform's programs of both builds, side by side."""

from __future__ import annotations

from functools import partial
from itertools import product
from typing import TYPE_CHECKING, NamedTuple

from tests.platform.upgrade_group import (
    GET,
    OK,
    PUT,
    config,
    platform_group,
)
from tests.platform.upgrade_upstream import BODY, upstream
from tests.upgrades.waiting import all_of, until

if TYPE_CHECKING:
    from pathlib import Path

    from tests.upgrades.builds import Build
    from tests.platform.upgrade_group import PlatformGroup
    from tests.upgrades.reporting import Report, Step
    from tests.platform.upgrade_upstream import Upstream

#: A service, an upstream and a limit for each direction between two entries.
_SERVICES = ('s-1', 's-2')
_LIMITS = (700, 900)


class Mixed(NamedTuple):
    """What runs in one step."""

    group: PlatformGroup
    upstreams: list[Upstream]
    step: Step


async def check_platform(
    old: Build, new: Build, folder: Path, report: Report
) -> None:
    """Run two control daemons of one build, one of the other, two entries."""
    for most, other in ((old, new), (new, old)):
        name = f'platform-two-{most.name}-one-{other.name}'
        text = 'documents, requests, limits and ends with both entries'
        with report.step(name, text) as step:
            async with (
                platform_group(folder / name) as group,
                upstream() as first,
                upstream() as second,
            ):
                await _start(group, (most, other))
                await _check(Mixed(group, [first, second], step))


async def _start(group: PlatformGroup, builds: tuple[Build, Build]) -> None:
    most, other = builds
    controls = group.place.controls
    await group.start_controls(
        dict(zip(controls, (most, other, most), strict=True))
    )
    await all_of(
        group.start('entry', host, build)
        for host, build in zip(group.place.entries, builds, strict=True)
    )


async def _check(mixed: Mixed) -> None:
    group = mixed.group
    controls = group.place.controls
    for number, one in enumerate(mixed.upstreams):
        answer = await group.beat(
            controls[number],
            f'i-{number}',
            service=_SERVICES[number],
            address=one.address,
        )
        mixed.step.equal(f'heartbeat at {controls[number]}', OK, answer[0])
    # The first two daemons are of different builds.
    for number, by in enumerate(controls[:2]):
        await _check_document(mixed, number + 1, by)
    await _check_limits(mixed)
    await _check_leaving(mixed)
    for host in (*group.place.entries, *controls):
        code = await group.programs.pop(host).terminate()
        mixed.step.equal(f'{host} ends', 0, code)


async def _check_document(mixed: Mixed, version: int, by: str) -> None:
    """Put a document by one daemon; all know it, both entries serve by it."""
    group = mixed.group
    body = config(version, *_SERVICES[:version])
    put = await group.call(by, PUT, body)
    mixed.step.equal(f'put of {version} at {by}', OK, put[0])
    for host in group.place.controls:
        got = await group.call(host, GET)
        mixed.step.equal(
            f'get at {host}', [OK, body.hex()], [got[0], got[1].hex()]
        )
    for entry, service in product(group.place.entries, _SERVICES[:version]):
        status, answer = await group.ask(entry, f'/{service}/')
        served = [status, answer.decode()]
        what = f'{service} through {entry}'
        mixed.step.equal(what, [OK, BODY.decode()], served)
    for number, one in enumerate(mixed.upstreams[:version]):
        mixed.step.equal('identities', {f'i-{number}'}, set(one.seen))


async def _check_limits(mixed: Mixed) -> None:
    """Let one entry receive a limit; the other one's dump shows it."""
    group = mixed.group
    entries = group.place.entries
    directions = (entries, list(reversed(entries)))
    for number, (by, other) in enumerate(directions):
        identity = f'i-{number}'
        mixed.upstreams[number].limit = str(_LIMITS[number])
        await group.ask(by, f'/{_SERVICES[number]}/')
        for entry in (by, other):
            look = partial(_limit_at, group, entry, identity)
            per_s = await until(f'a limit told to {entry}', look)
            mixed.step.equal(f'limit at {entry}', _LIMITS[number], per_s)
    for entry, other in directions:
        told = await until(
            f'{entry} hears the other', partial(_heard, group, entry)
        )
        mixed.step.equal(f'heard by {entry}', [f'node-{other}'], told)


async def _limit_at(group: PlatformGroup, entry: str, identity: str) -> float:
    limits = (await group.dump(entry))['relay']['limits']
    return float(limits[identity]['per_s']) if identity in limits else 0


async def _heard(group: PlatformGroup, entry: str) -> list[str]:
    return sorted((await group.dump(entry))['gossip'])


async def _check_leaving(mixed: Mixed) -> None:
    """Let an upstream leave by one daemon: both entries give it no work."""
    group = mixed.group
    await group.beat(
        group.place.controls[1],
        'i-0',
        service=_SERVICES[0],
        address=mixed.upstreams[0].address,
        state='draining',
    )
    for entry in group.place.entries:
        refused = partial(group.ask_once, entry, f'/{_SERVICES[0]}/', 503)
        mixed.step.holds(f'{entry} refuses', await until('a refusal', refused))
