"""The entry's copy of the requests suspected of killing upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING

from snipebend.kernel.service import Service
from snipebend.routing.views import SuspectView
from snipebend.state.crashes import SuspectCleared, SuspectList, SuspectQuery
from snipebend.transport.control_calls import ControlCalls
from snipebend.transport.routing_desk import RoutingDesk

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry

#: Seconds between two questions for news.
ASK_EVERY_S = 0.5


class SuspectFollower(Service):
    """Shows the shared suspects to the router and clears those served."""

    def __init__(self, name: str, process_name: str) -> None:
        """Begin without suspects."""
        super().__init__(name)
        self._process_name = process_name
        self._revision = -1
        self._deaths: dict[str, int] = {}

    async def start(self, registry: Registry) -> None:
        """Begin to ask."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        self._control = registry.find('control-calls', ControlCalls)
        self._desk = registry.find('routing', RoutingDesk)
        self._desk.on_served = self._served
        registry.tasks.start('follow-suspects', self._follow)

    def dump(self) -> Mapping[str, object]:
        """Return the deaths by fingerprint."""
        return dict(self._deaths)

    async def _follow(self) -> None:
        while True:
            query = SuspectQuery(self._process_name, self._revision)
            answer = await self._control.suspects(query)
            if answer.is_ok():
                self._take(answer.unwrap())
            await asyncio.sleep(ASK_EVERY_S)

    def _take(self, news: SuspectList) -> None:
        if news.revision == self._revision:
            return
        self._revision = news.revision
        self._deaths = {one.fingerprint: one.deaths for one in news.suspects}
        # Quarantines end at wall times; the router has a clock of its own.
        offset = self._clock.now() - self._clock.wall()
        self._desk.router.update_suspects(
            SuspectView(
                one.fingerprint,
                one.deaths,
                max(0, one.quarantined_until + offset),
            )
            for one in news.suspects
        )

    def _served(self, fingerprint: str) -> None:
        self._desk.deaths.clear(fingerprint)
        deaths = self._deaths.get(fingerprint)
        if deaths is not None:
            cleared = SuspectCleared(fingerprint, deaths)
            self._tasks.once('clear-suspect', lambda: self._clear(cleared))

    async def _clear(self, cleared: SuspectCleared) -> None:
        answer = await self._control.clear_suspect(cleared)
        if answer.is_ok():
            self._take(answer.unwrap())
