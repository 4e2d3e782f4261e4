"""The engine's interface for orders, ranks and expert loads, over HTTP."""

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
from snipebend.transport.forward import Outgoing

if TYPE_CHECKING:
    from snipebend.transport.forward import HttpClient

Answer = TypeVar('Answer')

#: Seconds for a question to the engine beside it.
READ_TIMEOUT_S = 2.0

_FAILURES = (ClientError, OSError, asyncio.TimeoutError)
_JSON = MappingProxyType({'content-type': 'application/json'})


class _Answered(NamedTuple):
    status: int
    body: bytes


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
        answer = await self._send(
            'POST',
            '/orders',
            timeout,
            msgspec.json.encode(order),
        )
        if answer.is_err():
            reason = answer.unwrap_err().message
            return OrderReply(OrderOutcome.UNKNOWN, order.fence, reason)
        return _read_reply(order, answer.unwrap())

    async def rank_state(self) -> Result[EngineState, UnavailableError]:
        """Return the map in force and the step in progress."""
        return await self._read('/ranks', EngineState)

    async def expert_load(self) -> Result[ExpertLoadReply, UnavailableError]:
        """Return the counts since the last call."""
        return await self._read('/expert-load', ExpertLoadReply)

    async def load(self) -> Result[EngineLoad, UnavailableError]:
        """Return the load as the engine reports it, late."""
        return await self._read('/load', EngineLoad)

    async def _read(
        self,
        uri: str,
        kind: type[Answer],
    ) -> Result[Answer, UnavailableError]:
        answer = await self._send('GET', uri, READ_TIMEOUT_S)
        if answer.is_err():
            return Err(answer.unwrap_err())
        answered = answer.unwrap()
        if answered.status != HTTPStatus.OK:
            return Err(self._fail(uri, f'status {answered.status}'))
        try:
            return Ok(msgspec.json.decode(answered.body, type=kind))
        except msgspec.DecodeError as exc:
            return Err(self._fail(uri, str(exc)))

    async def _send(
        self,
        method: str,
        uri: str,
        timeout: float,
        body: bytes = b'',
    ) -> Result[_Answered, UnavailableError]:
        outgoing = Outgoing(method, self._address, uri, _JSON, body)
        try:
            async with asyncio.timeout(timeout):
                async with self._http.send(outgoing) as resp:
                    return Ok(_Answered(resp.status, await resp.read()))
        except _FAILURES as exc:
            await self._http.retire(self._address)
            return Err(self._fail(uri, str(exc) or type(exc).__name__))

    def _fail(self, uri: str, reason: str) -> UnavailableError:
        return UnavailableError(reason, step=uri, peer=self._address)


def _read_reply(order: EngineOrder, answered: _Answered) -> OrderReply:
    if answered.status != HTTPStatus.OK:
        reason = answered.body.decode(errors='replace')
        return OrderReply(OrderOutcome.REFUSED, order.fence, reason)
    state = msgspec.json.decode(answered.body, type=EngineState)
    return OrderReply(OrderOutcome.EXECUTED, order.fence, state=state)
