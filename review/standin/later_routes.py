"""Runs a deployment whose second service gets its routes later.

The rule that is checked: in steady state, machines in touch get 20 or more
requests on routes that were added later, and serve them less than a quarter as
often as those on the first routes.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from http_parts import Message
from outcomes import BROKEN, HELD, NOT_RUN
from parties import (
    Replica,
    make_config,
    make_route,
    put_config,
    send_request,
    wait_ready,
)
from platform_bed import Bed

FIRST_SERVICE = 'svc-first'
LATER_SERVICE = 'svc-later'
FIRST_PATH = '/first/item'
LATER_PATH = '/later/item'
#: Requests a second to each entry on each of the two routes.
RATE = 2.0
STABILITY_WINDOW_S = 3.0
MIN_REQUESTS = 20


class LaterRoutes:
    """One run: two services, steady traffic on a route of each."""

    def __init__(self, bed: Bed, replicas: int) -> None:
        """Keep the bed; nothing is started yet."""
        self.bed = bed
        self.replicas: list[Replica] = []
        self.places = iter(range(150))
        self.served: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.arrivals: Counter[str] = Counter()
        self._number = replicas
        self._counting = False
        self._tasks: list[asyncio.Task[Any]] = []

    async def add_replica(self, service: str, **options: Any) -> Replica:
        """Start a replica at a place that was never used."""
        replica = Replica(
            self.bed,
            service,
            next(self.places),
            on_arrival=self._note_arrival,
            **options,
        )
        await replica.start()
        self.replicas.append(replica)
        return replica

    def list_up(self, service: str) -> list[Replica]:
        """Return the replicas of a service that are up."""
        return [
            one for one in self.replicas if one.service == service and one.is_up
        ]

    async def start(self) -> bool:
        """Start all; return whether the deployment serves both routes."""
        await self.bed.start()
        for service in (FIRST_SERVICE, LATER_SERVICE):
            for _ in range(self._number):
                await self.add_replica(service)
        first = make_route('first', '/first/', FIRST_SERVICE)
        later = make_route('later', '/later/', LATER_SERVICE)
        services = [FIRST_SERVICE, LATER_SERVICE]
        if not await put_config(self.bed, make_config(3, [first], services)):
            return False
        if not await wait_ready(self.bed):
            return False
        for front in self.bed.fronts:
            for path in (FIRST_PATH, LATER_PATH):
                self._tasks.append(
                    asyncio.create_task(self._send_forever(front, path))
                )
        await asyncio.sleep(2)
        config = make_config(8, [first, later], services)
        if not await put_config(self.bed, config):
            return False
        await asyncio.sleep(2 + STABILITY_WINDOW_S)
        return await self.measure('before', 5)

    async def measure(self, what: str, seconds: float) -> bool:
        """Count for a while; return whether the rule holds."""
        self.sent.clear()
        self.served.clear()
        self.arrivals.clear()
        self._counting = True
        await asyncio.sleep(seconds)
        self._counting = False
        await asyncio.sleep(2.5)
        shares = {
            path: self.served[path] / max(1, self.sent[path])
            for path in (FIRST_PATH, LATER_PATH)
        }
        holds = (
            self.sent[LATER_PATH] < MIN_REQUESTS
            or shares[LATER_PATH] >= shares[FIRST_PATH] / 4
        )
        line = (
            f'{what}: first route {self.served[FIRST_PATH]} of '
            + f'{self.sent[FIRST_PATH]} served, later route '
            + f'{self.served[LATER_PATH]} of {self.sent[LATER_PATH]} served; '
            + f'arrivals {dict(self.arrivals)}; the rule '
            + ('holds' if holds else 'is broken')
        )
        self.bed.note(line)
        print(line)
        return holds

    def stop(self) -> None:
        """End the traffic and all replicas."""
        for task in self._tasks:
            task.cancel()
        for replica in self.replicas:
            replica.crash()

    async def _send_forever(self, front: Any, path: str) -> None:
        tasks: set[asyncio.Task[None]] = set()
        while True:
            task = asyncio.create_task(self._send(front, path, self._counting))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / RATE)

    async def _send(self, front: Any, path: str, counted: bool) -> None:
        status = await send_request(self.bed, front, path)
        if counted:
            self.sent[path] += 1
            self.served[path] += status == 200

    def _note_arrival(self, replica: Replica, req: Message, what: str) -> None:
        attempt = req.headers.get('snipebend-attempt-id', '-')
        self.bed.note(f'replica {replica.identity} {what}: {attempt}')
        self.arrivals[f'{replica.service} {what}'] += 1


def run_case(
    case: Path,
    replicas: int,
    disturb: Callable[[LaterRoutes], Awaitable[None]],
    calm_s: float,
    measured_s: float,
) -> int:
    """Run a case; return the exit code of its script."""
    troubled = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> int:
        folder = Path(tempfile.mkdtemp(prefix='review-'))
        bed = Bed(folder, case / 'record.txt')
        scene = LaterRoutes(bed, replicas)
        try:
            if not await scene.start():
                bed.note('the deployment does not serve before the disruption')
                return NOT_RUN
            if troubled:
                await disturb(scene)
            await asyncio.sleep(calm_s)
            holds = await scene.measure('after', measured_s)
            return HELD if holds else BROKEN
        finally:
            scene.stop()
            await bed.stop()
            shutil.rmtree(folder, ignore_errors=True)

    try:
        return asyncio.run(asyncio.wait_for(run(), 118))
    except (OSError, TimeoutError) as exc:
        print(f'the case could not run: {exc!r}', file=sys.stderr)
        return NOT_RUN
