"""Opens and closes the deliveries of an entry."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from random import Random
from typing import TYPE_CHECKING

from snipebend.delivery.limits import DeliveryLimits
from snipebend.kernel.service import Service
from snipebend.transport.asgi import CONNECTION_KEY
from snipebend.transport.control_calls import ControlCalls
from snipebend.transport.delivery_driver import Delivery
from snipebend.transport.delivery_io import Resources
from snipebend.transport.forward import HttpClient
from snipebend.transport.meters import EntryMeters
from snipebend.transport.request_facts import (
    correlation_id,
    forwarded,
    gather_facts,
    routing_request,
)
from snipebend.transport.request_record import RequestLabel, RequestRecord
from snipebend.transport.routed_request import RoutedRequest
from snipebend.transport.routing_desk import RoutingDesk

if TYPE_CHECKING:
    from falcon.asgi import Request

    from snipebend.fleet.lookup import FleetIndex
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import EntrySettings
    from snipebend.transport.caller_checks import Wanted


class Dispatcher(Service):
    """Knows every delivery in flight, also those that only settle."""

    def __init__(self, name: str, cfg: EntrySettings) -> None:
        """Begin with nothing in flight."""
        super().__init__(name)
        self.meters = EntryMeters()
        self._cfg = cfg
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def start(self, registry: Registry) -> None:
        """Find what deliveries need."""
        self._tasks = registry.tasks
        self._shared = Resources(
            registry.clock,
            Random(),
            registry.find('client', HttpClient),
            registry.find('control-calls', ControlCalls),
            registry.find('routing', RoutingDesk),
            DeliveryLimits(self._cfg.process.name),
            self._cfg.connections.silent_after_s,
        )

    def dump(self) -> Mapping[str, object]:
        """Return the number of deliveries in flight."""
        return {'in_flight': self._in_flight}

    async def wait_idle(self) -> None:
        """Wait until nothing is in flight."""
        await self._idle.wait()

    async def open(
        self,
        req: Request,
        index: FleetIndex,
        wanted: Wanted,
    ) -> tuple[RequestRecord, Delivery]:
        """Begin a delivery once it is admitted; ``close`` must follow."""
        routing = index.fleet.routing
        clock = self._shared.clock
        span = routing.request_timeout_s
        facts = gather_facts(req, wanted, clock.wall() + span)
        label = RequestLabel(
            correlation_id(req),
            req.path,
            wanted.workspace.name,
        )
        record = RequestRecord(label, facts, clock, self.meters)
        self._in_flight += 1
        self._idle.clear()
        try:
            verdict = await self._shared.desk.admit(
                routing_request(index, req, wanted, clock.now() + span),
                req.scope[CONNECTION_KEY],
            )
        except BaseException:
            self._leave()
            raise
        routed = RoutedRequest(self._shared.desk, verdict)
        shared = self._shared._replace(
            limits=self._shared.limits._replace(
                max_stored_bytes=routing.answer_bytes,
            ),
        )
        return record, Delivery(shared, forwarded(req, wanted), routed)

    def close(self, record: RequestRecord, delivery: Delivery) -> None:
        """Report the request; what is to be settled goes on."""
        if not record.closed:
            record.closed = True
            record.report(delivery)
            self._tasks.once('settle', lambda: self._settle(delivery))

    async def _settle(self, delivery: Delivery) -> None:
        try:
            await delivery.settle()
        finally:
            self._leave()

    def _leave(self) -> None:
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()
