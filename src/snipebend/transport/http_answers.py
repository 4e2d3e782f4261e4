"""Answers of a control daemon's HTTP endpoints for callers without gRPC."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import falcon
from msgspec import msgpack
from result import Err, Result

from snipebend.errors.hierarchy import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from falcon.asgi import Response

Answer = TypeVar('Answer')

#: Callers try another daemon after one second.
RESPONSE_TIMEOUT_S = 0.9


async def with_timeout(
    timeout_s: float, call: Awaitable[Result[Answer, UnavailableError]]
) -> Result[Answer, UnavailableError]:
    """Return the outcome of a call, or an error after ``timeout_s``."""
    try:
        async with asyncio.timeout(timeout_s):
            return await call
    except TimeoutError:
        return Err(UnavailableError('not in time', step='answer'))


def respond(resp: Response, outcome: Result[Answer, UnavailableError]) -> None:
    """Acknowledge a message, or refuse it with 503."""
    if outcome.is_err():
        refuse(resp, falcon.HTTP_503, str(outcome.unwrap_err()))
        return
    resp.data = msgpack.encode({})


def refuse(resp: Response, status: str, reason: str) -> None:
    """Refuse a message."""
    resp.status = status
    resp.data = msgpack.encode({'error': reason})
