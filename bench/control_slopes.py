"""Measures the replicated state: times to accept, propagate and restart.

Run by hand: ``python -m bench.control_slopes`` starts three control daemons
and prints JSON. Times depend on the machine and on its other load.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path
from statistics import quantiles
from typing import Any
from uuid import uuid4

import psutil

from snipebend.state.claims import ClaimRequest, Holder
from snipebend.state.messages import WatchRequest
from snipebend.transport.methods import CLAIM, WATCH
from snipebend.transport.rpc_clients import RpcClients
from tests.daemons.control_group import (
    NAMES,
    ControlGroup,
    control_group,
    fleet_text,
)

APPLIES = 100
WATCHERS = 30
CLAIMS = 1500
CONCURRENT_CLAIMS = 32
RESTARTS = (0, 200, 800)
_TIMEOUT_S = 10.0
_MILLI = 1000
_MICRO = 1e6
_NO_SNAPSHOTS = 1_000_000


async def measure() -> dict[str, Any]:
    """Return the figures by name."""
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with control_group(
            folder, proxied=False, snapshot_every=1000
        ) as group:
            leader = await group.leader()
            follower = next(one for one in NAMES if one != leader)
            figures['apply_at_leader'] = await _time_applies(group, leader, 0)
            figures['apply_at_follower'] = await _time_applies(
                group, follower, APPLIES
            )
            figures['in_force'] = await _time_propagation(group, 2 * APPLIES)
            figures['claims'] = await _time_claims(group, leader)
    figures['restart'] = [
        await _time_restart(changes, snapshot_every)
        for changes in RESTARTS
        for snapshot_every in (_NO_SNAPSHOTS, 100)
    ]
    return figures


async def _time_applies(
    group: ControlGroup, name: str, start: int
) -> dict[str, float]:
    durations: list[float] = []
    for number in range(start, start + APPLIES):
        started_at = time.monotonic()
        reply = await group.apply(name, number, fleet_text(number))
        durations.append(time.monotonic() - started_at)
        assert reply is not None and reply.revision == number + 1
    return _summarize(durations)


async def _time_propagation(
    group: ControlGroup, start: int
) -> dict[str, float]:
    """Measure the time from a call until all watchers have the revision."""
    arrivals: dict[int, list[float]] = {}
    clients = RpcClients()
    watchers = [
        asyncio.create_task(
            _watch(clients, group.address(NAMES[number % 3]), start, arrivals),
        )
        for number in range(WATCHERS)
    ]
    durations: list[float] = []
    for number in range(start, start + APPLIES // 2):
        started_at = time.monotonic()
        await group.apply(NAMES[0], number, fleet_text(number))
        while len(arrivals.get(number + 1, ())) < WATCHERS:
            await asyncio.sleep(0.001)
        durations.append(max(arrivals[number + 1]) - started_at)
    for watcher in watchers:
        watcher.cancel()
    await asyncio.gather(*watchers, return_exceptions=True)
    clients.close()
    return _summarize(durations)


async def _watch(
    clients: RpcClients,
    peer: str,
    revision: int,
    arrivals: dict[int, list[float]],
) -> None:
    req = WatchRequest('bench', revision)
    known = revision
    async for message in clients.stream(peer, WATCH, req):
        if message.revision > known:
            known = message.revision
            arrivals.setdefault(known, []).append(time.monotonic())


async def _time_claims(group: ControlGroup, name: str) -> dict[str, float]:
    """Measure the throughput of a leader for concurrent claims of keys."""
    clients = RpcClients()
    durations: list[float] = []
    remaining = iter(range(CLAIMS))

    async def claim_keys() -> None:
        for _ in remaining:
            holder = Holder(uuid4().hex, 1, 'entry', 'u', '127.0.0.1:1', 1)
            key = uuid4().hex
            until = time.time() + 600
            req = ClaimRequest('w', key, 'f', holder, until)
            started_at = time.monotonic()
            answer = await clients.call(
                group.address(name), CLAIM, req, timeout=_TIMEOUT_S
            )
            answer.unwrap()
            durations.append(time.monotonic() - started_at)

    before = _read_cpu_seconds(group)
    started_at = time.monotonic()
    await asyncio.gather(*(claim_keys() for _ in range(CONCURRENT_CLAIMS)))
    elapsed = time.monotonic() - started_at
    cpu_s = {
        one: cpu - before[one] for one, cpu in _read_cpu_seconds(group).items()
    }
    clients.close()
    leader_s = cpu_s.pop(name)
    return {
        **_summarize(durations),
        'per_s': round(CLAIMS / elapsed, 1),
        'leader_cpu_us': round(leader_s / CLAIMS * _MICRO),
        'follower_cpu_us': round(max(cpu_s.values()) / CLAIMS * _MICRO),
    }


def _read_cpu_seconds(group: ControlGroup) -> dict[str, float]:
    """Return the processor seconds that each daemon has used."""
    figures: dict[str, float] = {}
    for name, program in group.programs.items():
        times = psutil.Process(program.process.pid).cpu_times()
        figures[name] = times.user + times.system
    return figures


async def _time_restart(changes: int, snapshot_every: int) -> dict[str, float]:
    """Measure a restart of all daemons until each has the last revision."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with control_group(
            folder, proxied=False, snapshot_every=snapshot_every
        ) as group:
            leader = await group.leader()
            for number in range(changes):
                await group.apply(leader, number, fleet_text(number))
            await group.kill(*NAMES)
            log_bytes = sum(
                path.stat().st_size for path in (folder / 'c-1').iterdir()
            )
            started_at = time.monotonic()
            await group.start(*NAMES)
            started_s = time.monotonic() - started_at
            for member in NAMES:
                assert await group.revision(member) == changes
            return {
                'changes': changes,
                'snapshots': snapshot_every < _NO_SNAPSHOTS,
                'folder_bytes': log_bytes,
                'started_s': round(started_s, 2),
                'current_s': round(time.monotonic() - started_at, 2),
            }


def _summarize(durations: list[float]) -> dict[str, float]:
    cuts = quantiles(durations, n=100)
    return {
        'p50_ms': round(cuts[49] * _MILLI, 2),
        'p99_ms': round(cuts[98] * _MILLI, 2),
        'mean_ms': round(sum(durations) / len(durations) * _MILLI, 2),
        'count': len(durations),
    }


if __name__ == '__main__':
    sys.stdout.write(f'{json.dumps(asyncio.run(measure()), indent=2)}\n')
