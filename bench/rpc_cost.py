"""What one call between our processes costs: processor time and bytes.

Run by hand: ``python -m bench.rpc_cost`` starts one control daemon and prints
JSON. Processor time is each process's own, so other work on the machine
doesn't count; bytes are what crosses the socket, both ways, headers included.
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

    async def list_all(_: int) -> None:
        reply = await clients.call(
            peer,
            DIRECTORY,
            DirectoryRequest(''),
            timeout=_TIMEOUT_S,
        )
        reply.unwrap()

    await clients.send_stream(peer, ANNOUNCE, _announcements(UPSTREAMS))
    figures |= await _feed_cost(clients, peer, control)
    figures |= await _cost('directory_100', list_all, control)
    async with CountingProxy(peer) as proxy:
        await clients.send_stream(proxy.address, ANNOUNCE, _announcements(1))
        before = proxy.total_bytes
        await clients.send_stream(
            proxy.address, ANNOUNCE, _announcements(CALLS)
        )
        figures['announce_bytes'] = (proxy.total_bytes - before) / CALLS
        before = proxy.total_bytes
        await _repeat(lambda one: _claim(clients, proxy.address, one), KEYS)
        figures['claim_and_settle_bytes'] = (proxy.total_bytes - before) / KEYS
    clients.close()
    return figures


async def _claim(clients: RpcClients, peer: str, number: int) -> None:
    """Claim a key and settle it without an answer."""
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


async def _feed_cost(
    clients: RpcClients,
    peer: str,
    server: psutil.Process,
) -> dict[str, float]:
    """Measure announcements that leave one by one, as in service."""
    client_before = time.process_time()
    server_before = _cpu(server)
    await clients.send_stream(peer, ANNOUNCE, _announcements(CALLS))
    client_s = time.process_time() - client_before
    server_s = _cpu(server) - server_before
    return {
        'announce_client_us': client_s / CALLS * _MICRO,
        'announce_server_us': server_s / CALLS * _MICRO,
    }


async def _announcements(count: int) -> AsyncIterator[Announcement]:
    for number in range(count):
        yield _announcement(next(_SEQUENCE), number)
        # One packet each: the next one leaves in a later turn of the loop.
        await asyncio.sleep(_PAUSE_S)


async def _cost(
    name: str,
    call: Callable[[int], Awaitable[None]],
    server: psutil.Process,
) -> dict[str, float]:
    client_before = time.process_time()
    server_before = _cpu(server)
    await _repeat(call, CALLS)
    client_s = time.process_time() - client_before
    server_s = _cpu(server) - server_before
    return {
        f'{name}_client_us': client_s / CALLS * _MICRO,
        f'{name}_server_us': server_s / CALLS * _MICRO,
    }


async def _repeat(call: Callable[[int], Awaitable[None]], times: int) -> None:
    for number in range(times):
        await call(number)


def _cpu(process: psutil.Process) -> float:
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
