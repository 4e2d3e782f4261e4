"""Measures the overhead of entry and agent against direct calls of upstreams.

``python -m bench.overhead`` starts all processes on loopback and measures both
paths in one run: the latency of a small call, one at a time, and the calls and
streamed chunks a second per core, from the CPU time that each process used.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import TYPE_CHECKING, NamedTuple

import psutil
from hdrh.histogram import HdrHistogram

from snipebend.console.demo_fleet import FLEET
from tests.loopback import LoopbackDeployment, completion

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.programs import Program

CALLS = 2000
WARM_UP = 200
CALLERS = 32
STREAMS = 64
TOKENS = 150

_MAX_LATENCY_US = 10_000_000
_FARE_PATH = '/fares/zug'
_COMPLETIONS_PATH = '/v1/completions'
_FLEET = FLEET.replace('rate_per_s = 100.0', 'rate_per_s = 1000000.0').replace(
    'max_concurrency = 100',
    'max_concurrency = 1000',
)
_CONCURRENT_FLEET = _FLEET.replace(
    'max_concurrency = 8', 'max_concurrency = 256'
)
_SERVICE = """
[[upstreams]]
name = "fares"
kind = "service"
model = ""
fencing = "ignored"
max_concurrency = 256
slow_start_s = 0.1
ejection_failures = 5
ejection_s = 1.0

[[services]]
name = "fares"
path_prefix = "/fares"
upstream = "fares"
"""


class Latency(NamedTuple):
    """Median and 99th percentile of the microseconds per call."""

    median: float
    p99: float


class Cost(NamedTuple):
    """CPU seconds by process name, and the elapsed seconds."""

    cpu_s: dict[str, float]
    elapsed_s: float


class OverheadBench:
    """Starts the processes of a deployment and measures them."""

    def __init__(self, deployment: LoopbackDeployment) -> None:
        """Create a bench on a deployment."""
        self._deployment = deployment

    async def start(self) -> None:
        """Start an engine and a service, each with its agent, and an entry."""
        deployment = self._deployment
        engine, service = await asyncio.gather(
            deployment.start_engine(
                'engine', '--step-ms', '2', '--batch-size', '64'
            ),
            deployment.start_service('service', 0),
        )
        engine_agent, service_agent, entry = await asyncio.gather(
            deployment.start_agent('engine-agent', engine),
            deployment.start_agent('service-agent', service, 'fares'),
            deployment.start_entry('entry'),
        )
        self._engine = engine
        self._service = service
        self._entry = entry
        self._agents = (engine_agent, service_agent)
        await deployment.apply_fleet(
            self._entry, fleet=f'{_CONCURRENT_FLEET}{_SERVICE}'
        )

    async def measure_latency(self, target: Program) -> Latency:
        """Measure the latency of calls made one at a time."""
        histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
        for number in range(WARM_UP + CALLS):
            started_at = time.perf_counter()
            await self._call(target)
            if number >= WARM_UP:
                latency_s = time.perf_counter() - started_at
                histogram.record_value(int(latency_s * 1e6))
        return Latency(
            histogram.get_value_at_percentile(50),
            histogram.get_value_at_percentile(99),
        )

    async def measure_calls(self, target: Program) -> Cost:
        """Measure the cost of calls from many concurrent callers."""

        async def run_caller() -> None:
            for _ in range(CALLS // CALLERS):
                await self._call(target)

        return await self._measure_cost(run_caller, CALLERS)

    async def measure_streams(self, target: Program) -> Cost:
        """Measure the cost of many concurrent streams."""

        async def run_caller() -> None:
            url = f'http://{target.addresses["http"]}{_COMPLETIONS_PATH}'
            body = completion('Describe the door.', TOKENS)
            async with self._deployment.session.post(url, data=body) as resp:
                text = await resp.read()
            assert text.count(b'data: ') == TOKENS + 1, text[-300:]

        return await self._measure_cost(run_caller, STREAMS)

    async def compare(self) -> dict[str, float]:
        """Measure direct calls and calls through entry and agent in turn."""
        direct = await self.measure_latency(self._service)
        through_entry = await self.measure_latency(self._entry)
        calls = await self.measure_calls(self._entry)
        streams = await self.measure_streams(self._entry)
        direct_streams = await self.measure_streams(self._engine)
        call_count = CALLS // CALLERS * CALLERS
        chunks = STREAMS * TOKENS
        return {
            'latency.direct.median_us': direct.median,
            'latency.direct.p99_us': direct.p99,
            'latency.through.median_us': through_entry.median,
            'latency.through.p99_us': through_entry.p99,
            'latency.ratio.median': through_entry.median / direct.median,
            'latency.ratio.p99': through_entry.p99 / direct.p99,
            'calls.per_entry_core': call_count / calls.cpu_s['entry'],
            'calls.per_agent_core': call_count / calls.cpu_s['service-agent'],
            'calls.per_core': call_count
            / (calls.cpu_s['entry'] + calls.cpu_s['service-agent']),
            'chunks.per_entry_core': chunks / streams.cpu_s['entry'],
            'chunks.per_agent_core': chunks / streams.cpu_s['engine-agent'],
            'chunks.per_core': chunks
            / (streams.cpu_s['entry'] + streams.cpu_s['engine-agent']),
            'chunks.per_engine_core_alone': chunks
            / direct_streams.cpu_s['engine'],
            'streams.span_ratio': streams.elapsed_s / direct_streams.elapsed_s,
        }

    async def _call(self, target: Program) -> None:
        url = f'http://{target.addresses["http"]}{_FARE_PATH}'
        async with self._deployment.session.get(url) as resp:
            await resp.read()
            assert resp.status == 200, resp.status

    async def _measure_cost(
        self,
        run_caller: Callable[[], Awaitable[None]],
        callers: int,
    ) -> Cost:
        before = self._read_cpu_seconds()
        started_at = time.perf_counter()
        await asyncio.gather(*(run_caller() for _ in range(callers)))
        elapsed_s = time.perf_counter() - started_at
        after = self._read_cpu_seconds()
        cpu_used_s = {name: after[name] - before[name] for name in after}
        return Cost(cpu_used_s, elapsed_s)

    def _read_cpu_seconds(self) -> dict[str, float]:
        programs = {
            'entry': self._entry,
            'engine-agent': self._agents[0],
            'service-agent': self._agents[1],
            'engine': self._engine,
        }
        return {
            name: _read_cpu_s(program) for name, program in programs.items()
        }


def _read_cpu_s(program: Program) -> float:
    times = psutil.Process(program.process.pid).cpu_times()
    return times.user + times.system


async def measure() -> dict[str, float]:
    """Start a deployment and return the figures of one run."""
    async with LoopbackDeployment() as deployment:
        bench = OverheadBench(deployment)
        await bench.start()
        return await bench.compare()


def main() -> int:
    """Print the figures."""
    for name, figure in asyncio.run(measure()).items():
        sys.stdout.write(f'{name} = {figure:.4g}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
