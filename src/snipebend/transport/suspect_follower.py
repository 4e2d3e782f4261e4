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

#: Seconds between two questions while a request waits for a death's count.
ASK_AGAIN_S = 0.02

#: Seconds for which a request waits for a death's count.
DEATH_PATIENCE_S = 2.0


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
        self._desk.await_death = self._await_death
        registry.tasks.start('follow-suspects', self._follow)

    def dump(self) -> Mapping[str, object]:
        """Return the deaths by fingerprint."""
        return dict(self._deaths)

    async def _follow(self) -> None:
        while True:
            await self._ask()
            await asyncio.sleep(ASK_EVERY_S)

    async def _ask(self) -> None:
        query = SuspectQuery(self._process_name, self._revision)
        answer = await self._control.suspects(query)
        if answer.is_ok():
            self._take(answer.unwrap())

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

    def _served(self, fingerprint: str, alone: bool) -> None:
        deaths = self._deaths.get(fingerprint)
        if deaths is not None:
            cleared = SuspectCleared(fingerprint, deaths)
            self._tasks.once('clear-suspect', lambda: self._clear(cleared))
        elif alone:
            self._tasks.once(
                'clear-suspect', lambda: self._clear_unread(fingerprint)
            )

    async def _await_death(self, fingerprint: str, known: int) -> bool:
        give_up_at = self._clock.now() + DEATH_PATIENCE_S
        while self._deaths.get(fingerprint, 0) <= known:
            if self._clock.now() >= give_up_at:
                return False
            await asyncio.sleep(ASK_AGAIN_S)
            await self._ask()
        return True

    async def _clear_unread(self, fingerprint: str) -> None:
        """Clear a suspect whose first death this entry hasn't read yet.

        Its lease kept it from running elsewhere, so that a death which is
        counted by now came before the run that clears it.
        """
        await self._ask()
        deaths = self._deaths.get(fingerprint)
        if deaths is not None:
            await self._clear(SuspectCleared(fingerprint, deaths))

    async def _clear(self, cleared: SuspectCleared) -> None:
        answer = await self._control.clear_suspect(cleared)
        if answer.is_ok():
            self._take(answer.unwrap())
