"""Measures traffic and processor time of control with few or no changes.

Run by hand: ``python -m bench.control_idle`` starts three control daemons, an
entry and an agent, and prints JSON: idle, and with 0.3 changes a second.
Processor time is measured per process; bytes are those on the sockets to the
control daemons, in both directions, including HTTP/2 headers but not TCP's.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, NamedTuple

import psutil

from bench.counting_proxy import CountingProxy
from tests.daemons.control_group import (
    NAMES,
    ControlGroup,
    control_group,
    fleet_text,
)
from tests.programs import (
    Program,
    agent_toml,
    entry_toml,
    start_daemon,
    start_standin,
)

MEASUREMENT_S = 15.0
CHANGES_PER_S = 0.3
_SETTLE_S = 3.0


class MonitoredProcess(NamedTuple):
    """A process and the proxies that carry all its traffic to control."""

    process: psutil.Process
    proxies: tuple[CountingProxy, ...]

    def read_counters(self) -> tuple[float, int]:
        """Return processor seconds and transferred bytes so far."""
        times = self.process.cpu_times()
        transferred = sum(proxy.total_bytes for proxy in self.proxies)
        return times.user + times.system, transferred


async def measure() -> dict[str, Any]:
    """Return the figures by name."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        group = await stack.enter_async_context(
            control_group(folder, proxied=False, snapshot_every=1000),
        )
        monitored = await _start_all(stack, group, folder)
        await group.apply(NAMES[0], 0, fleet_text(0))
        await asyncio.sleep(_SETTLE_S)
        idle = await _measure_rates(monitored)
        changing = asyncio.create_task(_apply_changes(group))
        busy = await _measure_rates(monitored)
        changing.cancel()
        await asyncio.gather(changing, return_exceptions=True)
        return {'idle': idle, 'changes_0.3_per_s': busy}


async def _start_all(
    stack: AsyncExitStack, group: ControlGroup, folder: Path
) -> dict[str, MonitoredProcess]:
    leader = await group.leader()
    monitored = {
        ('leader' if name == leader else f'follower {name}'): MonitoredProcess(
            psutil.Process(program.process.pid), ()
        )
        for name, program in group.programs.items()
    }
    engine = await start_standin(folder, 'engine', '--model', 'drafter')
    stack.push_async_callback(engine.kill)
    for kind in ('entry', 'agent'):
        proxies = [
            await stack.enter_async_context(CountingProxy(address))
            for address in group.addresses()
        ]
        control = ','.join(proxy.address for proxy in proxies)
        toml = entry_toml(kind, control)
        if kind == 'agent':
            address = engine.addresses['http']
            toml = agent_toml(kind, control, 'drafting', address)
            toml = toml.replace('report_every_s = 0.1', 'report_every_s = 1.0')
        program: Program = await start_daemon(kind, folder, kind, toml)
        stack.push_async_callback(program.kill)
        process = psutil.Process(program.process.pid)
        monitored[kind] = MonitoredProcess(process, tuple(proxies))
    return monitored


async def _apply_changes(group: ControlGroup) -> None:
    number = 1
    while True:
        await group.apply(NAMES[0], number, fleet_text(number))
        number += 1
        await asyncio.sleep(1 / CHANGES_PER_S)


async def _measure_rates(
    monitored: dict[str, MonitoredProcess],
) -> dict[str, Any]:
    before = {name: one.read_counters() for name, one in monitored.items()}
    started_at = time.monotonic()
    await asyncio.sleep(MEASUREMENT_S)
    elapsed_s = time.monotonic() - started_at
    figures: dict[str, Any] = {}
    for name, one in monitored.items():
        cpu_s, transferred = one.read_counters()
        figures[name] = {
            'cpu_percent': round(
                (cpu_s - before[name][0]) / elapsed_s * 100, 2
            ),
            'rss_mib': round(one.process.memory_info().rss / 2**20, 1),
        }
        if one.proxies:
            rate = (transferred - before[name][1]) / elapsed_s
            figures[name]['bytes_per_s'] = round(rate, 1)
    return figures


if __name__ == '__main__':
    sys.stdout.write(f'{json.dumps(asyncio.run(measure()), indent=2)}\n')
