"""Tells control daemons how long passes of groups take."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import msgpack

from snipebend.edge.gossip import Gossip
from snipebend.edge.host_follower import HostFollower
from snipebend.kernel.service import Service
from snipebend.state.step_times import StepTimesReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.kernel.registry import Registry

#: Seconds between two messages: about two passes. A turn of demand shows within
#: one of them; five entries tell three daemons 12 KB/s in all.
TELL_EVERY_S = 0.1


class PaceTeller(Service):
    """Sends what streams showed, to all control daemons."""

    def __init__(
        self,
        name: str,
        process: str,
        take: Callable[[], dict[str, tuple[int, float]]],
    ) -> None:
        """Keep the process's name and the way to what streams showed."""
        super().__init__(name)
        self._process = process
        self._take = take

    async def start(self, registry: Registry) -> None:
        """Start the task."""
        self._started_at = registry.clock.wall()
        self._gossip = registry.find('gossip', Gossip)
        self._follower = registry.find('hosts', HostFollower)
        registry.tasks.start('tell-paces', self._tell_for_ever)

    async def _tell_for_ever(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(TELL_EVERY_S)
            paces = self._take()
            if not paces:
                continue
            number += 1
            told = StepTimesReport(
                self._process, self._started_at, number, paces
            )
            self._gossip.send_to(
                self._follower.control_addresses, msgpack.encode(told)
            )
