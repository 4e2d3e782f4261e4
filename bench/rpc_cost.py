"""Measures processor time and bytes of calls between the processes.

Run by hand: ``python -m bench.rpc_cost`` starts one control daemon and prints
JSON. Processor time is measured per process, so that other work on the machine
does not count; bytes are those on the socket in both directions, including
headers.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import psutil

from bench.counting_proxy import CountingProxy
from snipebend.membership.messages import Announcement, DirectoryRequest
from snipebend.state.claims import (
    ClaimRequest,
    Holder,
    Settlement,
    SettleRequest,
)
from snipebend.transport.methods import ANNOUNCE, CLAIM, DIRECTORY, SETTLE
from snipebend.transport.rpc_clients import RpcClients
from tests.programs import control_toml, start_daemon

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

CALLS = 2000
UPSTREAMS = 100
KEYS = 200
_TIMEOUT_S = 10.0
_MICRO = 1e6
_MEBI = 1024 * 1024
_PAUSE_S = 0.002
_SEQUENCE = itertools.count(1)


async def measure() -> dict[str, float]:
    """Return the figures by name."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        control = await start_daemon(
            'control',
            folder,
            'control',
            control_toml('control', folder),
        )
        try:
            return await _measure_calls(
                control.addresses['grpc'],
                psutil.Process(control.process.pid),
            )
        finally:
            await control.terminate()


async def _measure_calls(
    peer: str,
    control: psutil.Process,
) -> dict[str, float]:
    clients = RpcClients()
    figures: dict[str, float] = {
        'control_idle_rss_mib': control.memory_info().rss / _MEBI,
    }

    async def fetch_directory(_: int) -> None:
        reply = await clients.call(
            peer,
            DIRECTORY,
            DirectoryRequest(''),
            timeout=_TIMEOUT_S,
        )
        reply.unwrap()

    await clients.send_stream(peer, ANNOUNCE, _announcements(UPSTREAMS))
    figures |= await _measure_announcements(clients, peer, control)
    figures |= await _measure_call('directory_100', fetch_directory, control)
    async with CountingProxy(peer) as proxy:
        await clients.send_stream(proxy.address, ANNOUNCE, _announcements(1))
        before = proxy.total_bytes
        await clients.send_stream(
            proxy.address, ANNOUNCE, _announcements(CALLS)
        )
        figures['announce_bytes'] = (proxy.total_bytes - before) / CALLS
        before = proxy.total_bytes
        await _repeat(
            lambda one: _claim_and_settle(clients, proxy.address, one), KEYS
        )
        figures['claim_and_settle_bytes'] = (proxy.total_bytes - before) / KEYS
    clients.close()
    return figures


async def _claim_and_settle(
    clients: RpcClients, peer: str, number: int
) -> None:
    """Claim a key and settle it without a stored answer."""
    holder = Holder(f'{number:032x}', 1, 'entry-1', 'drafting-001', peer, 1)
    key = f'inspection-{number:08}'
    claimed = await clients.call(
        peer,
        CLAIM,
        ClaimRequest('workspace-1', key, 'f' * 16, holder, 0),
        timeout=_TIMEOUT_S,
    )
    claimed.unwrap()
    settled = await clients.call(
        peer,
        SETTLE,
        SettleRequest('workspace-1', key, holder.request_id, 1, Settlement.RAN),
        timeout=_TIMEOUT_S,
    )
    settled.unwrap()


async def _measure_announcements(
    clients: RpcClients,
    peer: str,
    server: psutil.Process,
) -> dict[str, float]:
    """Measure announcements that are sent one by one, as in production."""
    client_before = time.process_time()
    server_before = _read_cpu_seconds(server)
    await clients.send_stream(peer, ANNOUNCE, _announcements(CALLS))
    client_s = time.process_time() - client_before
    server_s = _read_cpu_seconds(server) - server_before
    return {
        'announce_client_us': client_s / CALLS * _MICRO,
        'announce_server_us': server_s / CALLS * _MICRO,
    }


async def _announcements(count: int) -> AsyncIterator[Announcement]:
    for number in range(count):
        yield _announcement(next(_SEQUENCE), number)
        # The pause gives each announcement its own packet: the next one is
        # sent in a later iteration of the event loop.
        await asyncio.sleep(_PAUSE_S)


async def _measure_call(
    name: str,
    call: Callable[[int], Awaitable[None]],
    server: psutil.Process,
) -> dict[str, float]:
    client_before = time.process_time()
    server_before = _read_cpu_seconds(server)
    await _repeat(call, CALLS)
    client_s = time.process_time() - client_before
    server_s = _read_cpu_seconds(server) - server_before
    return {
        f'{name}_client_us': client_s / CALLS * _MICRO,
        f'{name}_server_us': server_s / CALLS * _MICRO,
    }


async def _repeat(call: Callable[[int], Awaitable[None]], times: int) -> None:
    for number in range(times):
        await call(number)


def _read_cpu_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _announcement(sequence: int, number: int) -> Announcement:
    return Announcement(
        upstream=f'drafting-{number % UPSTREAMS:03}',
        policy='drafting',
        data_center='zrh-1',
        http_address='10.0.0.7:8080',
        grpc_address='10.0.0.7:8081',
        incarnation=1764700000000,
        sequence=sequence,
        running=5,
        queued=2,
        revision=17,
    )


if __name__ == '__main__':
    sys.stdout.write(f'{json.dumps(asyncio.run(measure()), indent=1)}\n')
