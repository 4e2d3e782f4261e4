"""HTTP client of the engine for orders, rank states and loads."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple, TypeVar

import msgspec
from aiohttp import ClientError
from result import Err, Ok, Result

from snipebend.errors.hierarchy import UnavailableError
from snipebend.membership.messages import EngineLoad
from snipebend.orders.expert_load import ExpertLoadReply
from snipebend.orders.messages import (
    EngineOrder,
    EngineState,
    OrderOutcome,
    OrderReply,
)
from snipebend.transport.forward import OutgoingRequest

if TYPE_CHECKING:
    from snipebend.transport.forward import HttpClient

Reply = TypeVar('Reply')

#: Timeout in seconds of a read from the agent's engine.
READ_TIMEOUT_S = 2.0

_FAILURES = (ClientError, OSError, asyncio.TimeoutError)
_JSON = MappingProxyType({'content-type': 'application/json'})


class _HttpReply(NamedTuple):
    status: int
    body: bytes


class EngineClient:
    """Calls the agent's engine, which runs next to the agent."""

    def __init__(self, address: str, http: HttpClient) -> None:
        """Initialize with the ``host:port`` of the engine."""
        self._address = address
        self._http = http

    async def execute(
        self,
        order: EngineOrder,
        timeout: float,
    ) -> OrderReply:
        """Send an order and abort after ``timeout`` seconds.

        Without a response, the order may still have taken effect.
        """
        reply = await self._send(
            'POST',
            '/orders',
            timeout,
            msgspec.json.encode(order),
        )
        if reply.is_err():
            reason = reply.unwrap_err().message
            return OrderReply(OrderOutcome.UNKNOWN, order.fence, reason)
        return _read_reply(order, reply.unwrap())

    async def rank_state(self) -> Result[EngineState, UnavailableError]:
        """Return the expert map in force and the step in progress."""
        return await self._read('/ranks', EngineState)

    async def expert_load(self) -> Result[ExpertLoadReply, UnavailableError]:
        """Return the expert load counts since the last call."""
        return await self._read('/expert-load', ExpertLoadReply)

    async def load(self) -> Result[EngineLoad, UnavailableError]:
        """Return the load that the engine reports, which lags behind."""
        return await self._read('/load', EngineLoad)

    async def _read(
        self,
        uri: str,
        kind: type[Reply],
    ) -> Result[Reply, UnavailableError]:
        reply = await self._send('GET', uri, READ_TIMEOUT_S)
        if reply.is_err():
            return Err(reply.unwrap_err())
        response = reply.unwrap()
        if response.status != HTTPStatus.OK:
            return Err(self._fail(uri, f'status {response.status}'))
        try:
            return Ok(msgspec.json.decode(response.body, type=kind))
        except msgspec.DecodeError as exc:
            return Err(self._fail(uri, str(exc)))

    async def _send(
        self,
        method: str,
        uri: str,
        timeout: float,
        body: bytes = b'',
    ) -> Result[_HttpReply, UnavailableError]:
        outgoing = OutgoingRequest(method, self._address, uri, _JSON, body)
        try:
            async with asyncio.timeout(timeout):
                async with self._http.send(outgoing) as resp:
                    return Ok(_HttpReply(resp.status, await resp.read()))
        except _FAILURES as exc:
            await self._http.retire(self._address)
            return Err(self._fail(uri, str(exc) or type(exc).__name__))

    def _fail(self, uri: str, reason: str) -> UnavailableError:
        return UnavailableError(reason, step=uri, peer=self._address)


def _read_reply(order: EngineOrder, response: _HttpReply) -> OrderReply:
    if response.status != HTTPStatus.OK:
        reason = response.body.decode(errors='replace')
        return OrderReply(OrderOutcome.REFUSED, order.fence, reason)
    state = msgspec.json.decode(response.body, type=EngineState)
    return OrderReply(OrderOutcome.EXECUTED, order.fence, state=state)
