"""What an entry and an agent add, against the upstream asked directly.

``python -m bench.overhead`` starts all processes on loopback and measures both
ways in one run: the latency of a small call, one at a time; calls a second and
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
from tests.loopback import Loopback, completion

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.programs import Program

CALLS = 2000
WARM_UP = 200
CALLERS = 32
STREAMS = 64
TOKENS = 150

_MAX_US = 10_000_000
_FARE = '/fares/zug'
_TEXT = '/v1/completions'
_FILE = FLEET.replace('rate_per_s = 100.0', 'rate_per_s = 1000000.0').replace(
    'max_concurrency = 100',
    'max_concurrency = 1000',
)
_WIDE = _FILE.replace('max_concurrency = 8', 'max_concurrency = 256')
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
    """Microseconds of one call."""

    median: float
    p99: float


class Cost(NamedTuple):
    """CPU seconds by the name of the process, and the span in seconds."""

    cpu_s: dict[str, float]
    span_s: float


class Bench:
    """The processes and the figures of one run."""

    def __init__(self, path: Loopback) -> None:
        """Measure on a deployment."""
        self._path = path

    async def start(self) -> None:
        """Start an engine and a service, each with its agent, and an entry."""
        path = self._path
        engine, service = await asyncio.gather(
            path.engine('engine', '--step-ms', '2', '--batch-size', '64'),
            path.service('service', 0),
        )
        engine_agent, service_agent, entry = await asyncio.gather(
            path.agent('engine-agent', engine),
            path.agent('service-agent', service, 'fares'),
            path.entry('entry'),
        )
        self._engine = engine
        self._service = service
        self._entry = entry
        self._agents = (engine_agent, service_agent)
        await path.serve(self._entry, fleet=f'{_WIDE}{_SERVICE}')

    async def latency(self, front: Program) -> Latency:
        """Call one at a time."""
        histogram = HdrHistogram(1, _MAX_US, 3)
        for number in range(WARM_UP + CALLS):
            began = time.perf_counter()
            await self._call(front)
            if number >= WARM_UP:
                span = time.perf_counter() - began
                histogram.record_value(int(span * 1e6))
        return Latency(
            histogram.get_value_at_percentile(50),
            histogram.get_value_at_percentile(99),
        )

    async def calls(self, front: Program) -> Cost:
        """Call with many callers at once."""

        async def caller() -> None:
            for _ in range(CALLS // CALLERS):
                await self._call(front)

        return await self._cost(caller, CALLERS)

    async def streams(self, front: Program) -> Cost:
        """Stream many answers at once."""

        async def caller() -> None:
            url = f'http://{front.addresses["http"]}{_TEXT}'
            body = completion('Describe the door.', TOKENS)
            async with self._path.session.post(url, data=body) as resp:
                text = await resp.read()
            assert text.count(b'data: ') == TOKENS + 1, text[-300:]

        return await self._cost(caller, STREAMS)

    async def compare(self) -> dict[str, float]:
        """Measure all; direct and through, in turn."""
        direct = await self.latency(self._service)
        through = await self.latency(self._entry)
        calls = await self.calls(self._entry)
        streams = await self.streams(self._entry)
        alone = await self.streams(self._engine)
        made = CALLS // CALLERS * CALLERS
        chunks = STREAMS * TOKENS
        return {
            'latency.direct.median_us': direct.median,
            'latency.direct.p99_us': direct.p99,
            'latency.through.median_us': through.median,
            'latency.through.p99_us': through.p99,
            'latency.ratio.median': through.median / direct.median,
            'latency.ratio.p99': through.p99 / direct.p99,
            'calls.per_entry_core': made / calls.cpu_s['entry'],
            'calls.per_agent_core': made / calls.cpu_s['service-agent'],
            'calls.per_core': made
            / (calls.cpu_s['entry'] + calls.cpu_s['service-agent']),
            'chunks.per_entry_core': chunks / streams.cpu_s['entry'],
            'chunks.per_agent_core': chunks / streams.cpu_s['engine-agent'],
            'chunks.per_core': chunks
            / (streams.cpu_s['entry'] + streams.cpu_s['engine-agent']),
            'chunks.per_engine_core_alone': chunks / alone.cpu_s['engine'],
            'streams.span_ratio': streams.span_s / alone.span_s,
        }

    async def _call(self, front: Program) -> None:
        url = f'http://{front.addresses["http"]}{_FARE}'
        async with self._path.session.get(url) as resp:
            await resp.read()
            assert resp.status == 200, resp.status

    async def _cost(
        self,
        caller: Callable[[], Awaitable[None]],
        callers: int,
    ) -> Cost:
        before = self._cpu()
        began = time.perf_counter()
        await asyncio.gather(*(caller() for _ in range(callers)))
        span_s = time.perf_counter() - began
        after = self._cpu()
        used = {name: after[name] - before[name] for name in after}
        return Cost(used, span_s)

    def _cpu(self) -> dict[str, float]:
        programs = {
            'entry': self._entry,
            'engine-agent': self._agents[0],
            'service-agent': self._agents[1],
            'engine': self._engine,
        }
        return {name: _cpu_s(program) for name, program in programs.items()}


def _cpu_s(program: Program) -> float:
    times = psutil.Process(program.process.pid).cpu_times()
    return times.user + times.system


async def measure() -> dict[str, float]:
    """Run once."""
    async with Loopback() as path:
        bench = Bench(path)
        await bench.start()
        return await bench.compare()


def main() -> int:
    """Print the figures."""
    for name, figure in asyncio.run(measure()).items():
        sys.stdout.write(f'{name} = {figure:.4g}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
