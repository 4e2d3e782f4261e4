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
from snipebend.transport.delivery_io import DeliveryResources
from snipebend.transport.forward import HttpClient
from snipebend.transport.meters import EntryMeters
from snipebend.transport.request_facts import (
    build_forwarded_request,
    build_routing_request,
    correlation_id,
    gather_facts,
)
from snipebend.transport.request_record import RequestLabel, RequestRecord
from snipebend.transport.routed_request import RoutedRequest
from snipebend.transport.routing_service import RoutingService

if TYPE_CHECKING:
    from falcon.asgi import Request

    from snipebend.fleet.lookup import FleetIndex
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import EntrySettings
    from snipebend.transport.caller_checks import CheckedRequest


class Dispatcher(Service):
    """Tracks all deliveries in flight, including those only settling."""

    def __init__(self, name: str, cfg: EntrySettings) -> None:
        """Initialize without deliveries."""
        super().__init__(name)
        self.meters = EntryMeters()
        self._cfg = cfg
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def start(self, registry: Registry) -> None:
        """Look up the services that deliveries use."""
        self._tasks = registry.tasks
        self._shared = DeliveryResources(
            registry.clock,
            Random(),
            registry.find('client', HttpClient),
            registry.find('control-calls', ControlCalls),
            registry.find('routing', RoutingService),
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
        checked: CheckedRequest,
    ) -> tuple[RequestRecord, Delivery]:
        """Start a delivery after admission; ``close`` must be called later."""
        routing = index.fleet.routing
        clock = self._shared.clock
        timeout_s = routing.request_timeout_s
        facts = gather_facts(req, checked, clock.wall() + timeout_s)
        label = RequestLabel(
            correlation_id(req),
            req.path,
            checked.workspace.name,
        )
        record = RequestRecord(label, facts, clock, self.meters)
        self._in_flight += 1
        self._idle.clear()
        try:
            verdict = await self._shared.routing_service.admit(
                build_routing_request(
                    index, req, checked, clock.now() + timeout_s
                ),
                req.scope[CONNECTION_KEY],
            )
        except BaseException:
            self._finish_one()
            raise
        routed = RoutedRequest(self._shared.routing_service, verdict)
        shared = self._shared._replace(
            limits=self._shared.limits._replace(
                max_stored_bytes=routing.answer_bytes,
            ),
        )
        return record, Delivery(
            shared, build_forwarded_request(req, checked), routed
        )

    def close(self, record: RequestRecord, delivery: Delivery) -> None:
        """Report the request; its settlement continues in a task."""
        if not record.closed:
            record.closed = True
            record.report(delivery)
            self._tasks.once('settle', lambda: self._settle(delivery))

    async def _settle(self, delivery: Delivery) -> None:
        try:
            await delivery.settle()
        finally:
            self._finish_one()

    def _finish_one(self) -> None:
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()
