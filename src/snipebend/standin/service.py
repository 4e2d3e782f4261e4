"""Stand-in for a service without a model: seat holds, confirmations, fares."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from zlib import crc32

from msgspec import Raw, Struct

from snipebend.standin.executions import ExecutionLedger
from snipebend.standin.http import (
    DisconnectAwareApp,
    Healthz,
    read_body,
    send_json,
)
from snipebend.standin.settings import MS_PER_S

if TYPE_CHECKING:
    from falcon.asgi import App, Request, Response

FARE_RANGE = 500


class Booking(Struct, frozen=True):
    """The response to a booking; ``number`` counts executions of its kind."""

    kind: str
    number: int
    body: Raw


class Fare(Struct, frozen=True):
    """A fare in whole currency units; each id has a fixed price."""

    id: str
    price: int


class Bookings:
    """A ``POST`` that is not idempotent: each call is an execution."""

    def __init__(
        self,
        kind: str,
        ledger: ExecutionLedger,
        delay_s: float,
    ) -> None:
        """Count executions in the ledger; respond after ``delay_s``."""
        self._kind = kind
        self._ledger = ledger
        self._delay_s = delay_s
        self._number = 0

    async def on_post(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Execute and respond with the number of the execution."""
        body, raw = await read_body(req, Raw)
        self._number += 1
        booking = Booking(self._kind, self._number, body)
        self._ledger.start(
            req.get_header('x-request-id') or '',
            key=req.get_header('idempotency-key') or '',
            body=raw.decode(),
        )
        await asyncio.sleep(self._delay_s)
        self._ledger.finished += 1
        send_json(resp, booking)


class Fares:
    """``GET /fares/{fare_id}``: idempotent."""

    async def on_get(
        self,
        req: Request,
        resp: Response,
        fare_id: str,
    ) -> None:
        """Respond with the fare."""
        send_json(resp, Fare(fare_id, crc32(fare_id.encode()) % FARE_RANGE))


class ServiceExecutions:
    """``GET /executions`` of the service."""

    def __init__(self, ledger: ExecutionLedger) -> None:
        """Serve the counts of the given ledger."""
        self._ledger = ledger

    async def on_get(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Respond with the ``ExecutionCounts``."""
        running = self._ledger.started - self._ledger.finished
        send_json(resp, self._ledger.counts(running))


def build_service_app(delay_ms: float = 0) -> App[Any, Any]:
    """Build the service's app; bookings respond after ``delay_ms``."""
    ledger = ExecutionLedger()
    app = DisconnectAwareApp()
    for kind in ('holds', 'confirmations'):
        bookings = Bookings(kind, ledger, delay_ms / MS_PER_S)
        app.add_route(f'/{kind}', bookings)
    app.add_route('/fares/{fare_id}', Fares())
    app.add_route('/executions', ServiceExecutions(ledger))
    app.add_route('/healthz', Healthz())
    return app
