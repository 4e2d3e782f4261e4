"""Reports the pass times of groups to control daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import msgpack

from snipebend.edge.gossip import Gossip
from snipebend.edge.host_follower import HostFollower
from snipebend.kernel.service import Service
from snipebend.state.pass_times import PassTimesReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.kernel.registry import Registry

#: Seconds between two messages: about two passes. A shift in demand shows
#: within one pass; five entries send 12 KB/s in all to three daemons.
REPORT_INTERVAL_S = 0.1


class PassTimeReporter(Service):
    """Sends the pass times measured on streams to all control daemons."""

    def __init__(
        self,
        name: str,
        process: str,
        drain: Callable[[], dict[str, tuple[int, float]]],
    ) -> None:
        """Keep the process name, and a function that drains measurements."""
        super().__init__(name)
        self._process = process
        self._drain = drain

    async def start(self, registry: Registry) -> None:
        """Start the task."""
        self._started_at = registry.clock.wall()
        self._gossip = registry.find('gossip', Gossip)
        self._follower = registry.find('hosts', HostFollower)
        registry.tasks.start('tell-paces', self._report_forever)

    async def _report_forever(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            pass_times = self._drain()
            if not pass_times:
                continue
            number += 1
            message = PassTimesReport(
                self._process, self._started_at, number, pass_times
            )
            self._gossip.send_to(
                self._follower.control_addresses, msgpack.encode(message)
            )
