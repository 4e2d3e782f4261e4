"""Follows the shared list of requests suspected of killing upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING

from snipebend.kernel.service import Service
from snipebend.routing.views import SuspectView
from snipebend.state.crashes import SuspectCleared, SuspectList, SuspectQuery
from snipebend.transport.control_calls import ControlCalls
from snipebend.transport.routing_service import RoutingService

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry
    from snipebend.routing.messages import RoutingRequest

#: Seconds between two polls of the shared list.
POLL_INTERVAL_S = 0.5

#: Seconds between two polls while a request whose upstream died waits until the
#: control daemons have counted this death.
DEATH_POLL_INTERVAL_S = 0.02

#: Maximum duration of this wait in seconds. After that, the next attempt is
#: refused with the advice to retry once the request's lease has expired.
DEATH_TIMEOUT_S = 2.0


class SuspectFollower(Service):
    """Updates the router's suspects and clears those that were served."""

    def __init__(self, name: str, process_name: str) -> None:
        """Initialize without suspects."""
        super().__init__(name)
        self._process_name = process_name
        self._revision = -1
        self._deaths: dict[str, int] = {}

    async def start(self, registry: Registry) -> None:
        """Connect to the routing service and start polling."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        self._control = registry.find('control-calls', ControlCalls)
        self._routing_service = registry.find('routing', RoutingService)
        self._routing_service.on_served = self._handle_served
        self._routing_service.wait_for_death = self._wait_for_death
        registry.tasks.start('follow-suspects', self._follow)

    def dump(self) -> Mapping[str, object]:
        """Return the deaths by fingerprint."""
        return dict(self._deaths)

    async def _follow(self) -> None:
        while True:
            await self._poll()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll(self) -> None:
        query = SuspectQuery(self._process_name, self._revision)
        reply = await self._control.suspects(query)
        if reply.is_ok():
            self._apply(reply.unwrap())

    def _apply(self, suspect_list: SuspectList) -> None:
        if suspect_list.revision == self._revision:
            return
        self._revision = suspect_list.revision
        self._deaths = {
            one.fingerprint: one.deaths for one in suspect_list.suspects
        }
        # Quarantines end at wall-clock times; the router uses the clock of
        # this process, whose start differs.
        offset = self._clock.now() - self._clock.wall()
        self._routing_service.router.update_suspects(
            SuspectView(
                one.fingerprint,
                one.deaths,
                max(0, one.quarantined_until + offset),
            )
            for one in suspect_list.suspects
        )

    def _handle_served(self, req: RoutingRequest, alone: bool) -> None:
        keys = (req.fingerprint, *req.part_keys)
        for key in filter(self._deaths.__contains__, keys):
            self._clear_soon(SuspectCleared(key, self._deaths[key]))
        if alone and req.fingerprint not in self._deaths:
            self._tasks.once(
                'clear-suspect',
                lambda: self._clear_after_poll(req.fingerprint),
            )

    def _clear_soon(self, cleared: SuspectCleared) -> None:
        self._tasks.once('clear-suspect', lambda: self._clear(cleared))

    async def _wait_for_death(self, fingerprint: str, known: int) -> bool:
        give_up_at = self._clock.now() + DEATH_TIMEOUT_S
        while self._deaths.get(fingerprint, 0) <= known:
            if self._clock.now() >= give_up_at:
                return False
            await asyncio.sleep(DEATH_POLL_INTERVAL_S)
            await self._poll()
        return True

    async def _clear_after_poll(self, fingerprint: str) -> None:
        """Clear a suspect whose first death this entry has not read yet.

        The lease kept the request from running elsewhere, so any death counted
        by now precedes the run that clears it.
        """
        await self._poll()
        deaths = self._deaths.get(fingerprint)
        if deaths is not None:
            await self._clear(SuspectCleared(fingerprint, deaths))

    async def _clear(self, cleared: SuspectCleared) -> None:
        reply = await self._control.clear_suspect(cleared)
        if reply.is_ok():
            self._apply(reply.unwrap())
