"""The engine's interface for orders, ranks and expert loads, over HTTP."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, TypeVar

import msgspec
from aiohttp import ClientError, ClientTimeout
from result import Err, Ok, Result

from snipebend.errors.hierarchy import UnavailableError
from snipebend.orders.expert_load import ExpertLoadReply
from snipebend.orders.messages import (
    EngineOrder,
    EngineState,
    OrderOutcome,
    OrderReply,
)

if TYPE_CHECKING:
    from snipebend.transport.forward import HttpClient

Answer = TypeVar('Answer')

#: Seconds for a question to the engine beside it.
READ_TIMEOUT_S = 2.0

_FAILURES = (ClientError, OSError, asyncio.TimeoutError)


class EngineClient:
    """Calls the one engine beside the agent."""

    def __init__(self, address: str, http: HttpClient) -> None:
        """Keep the engine's ``host:port``."""
        self._address = address
        self._http = http

    async def execute(
        self,
        order: EngineOrder,
        timeout: float,
    ) -> OrderReply:
        """Pass an order on and break off after ``timeout`` seconds.

        No answer means that the order may have an effect.
        """
        try:
            async with self._http.session(self._address).post(
                f'http://{self._address}/orders',
                data=msgspec.json.encode(order),
                headers={'content-type': 'application/json'},
                timeout=ClientTimeout(total=timeout),
            ) as resp:
                return _read_reply(order, resp.status, await resp.read())
        except _FAILURES as exc:
            reason = str(exc) or type(exc).__name__
            return OrderReply(OrderOutcome.UNKNOWN, order.fence, reason)

    async def rank_state(self) -> Result[EngineState, UnavailableError]:
        """Return the map in force and the step in progress."""
        return await self._read('/ranks', EngineState)

    async def expert_load(self) -> Result[ExpertLoadReply, UnavailableError]:
        """Return the counts since the last call."""
        return await self._read('/expert-load', ExpertLoadReply)

    async def _read(
        self,
        path: str,
        kind: type[Answer],
    ) -> Result[Answer, UnavailableError]:
        try:
            async with self._http.session(self._address).get(
                f'http://{self._address}{path}',
                timeout=ClientTimeout(total=READ_TIMEOUT_S),
            ) as resp:
                resp.raise_for_status()
                body = await resp.read()
        except _FAILURES as exc:
            reason = str(exc) or type(exc).__name__
            peer = self._address
            return Err(UnavailableError(reason, step=f'read {path}', peer=peer))
        return Ok(msgspec.json.decode(body, type=kind))


def _read_reply(order: EngineOrder, status: int, body: bytes) -> OrderReply:
    if status != HTTPStatus.OK:
        reason = body.decode(errors='replace')
        return OrderReply(OrderOutcome.REFUSED, order.fence, reason)
    state = msgspec.json.decode(body, type=EngineState)
    return OrderReply(OrderOutcome.EXECUTED, order.fence, state=state)
