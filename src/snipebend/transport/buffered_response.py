"""Sends a response with its length, for callers that have no chunks.

``uvicorn`` sends chunks to all callers unless the length is stated.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from typing import Any

from snipebend.delivery.outcomes import Outcome
from snipebend.transport.body_framing import BODILESS_STATUSES
from snipebend.transport.problems import (
    MEDIA_PROBLEM,
    OUTCOME_HEADER,
    IncompleteResponseError,
    Problem,
    encode_problem,
)

Event = MutableMapping[str, Any]
Send = Callable[[Any], Awaitable[None]]

#: Largest body that is held, in bytes.
MAX_BUFFERED_BYTES = 16_777_216

_TOO_LARGE = Problem(
    HTTPStatus.BAD_GATEWAY,
    'Answer too large',
    f'an answer over {MAX_BUFFERED_BYTES} bytes needs HTTP/1.1',
    Outcome.RAN,
)
_LENGTH = b'content-length'


class BufferedResponse:
    """Receives the events of an ASGI response, and sends it when complete."""

    def __init__(self, send: Send) -> None:
        """Keep the ``send`` function of the server."""
        self._send = send
        self._start: Event = {}
        self._body = bytearray()

    async def send(self, event: Event) -> None:
        """Accept the next event of the response.

        Raises:
            IncompleteResponseError: if the body is too large.
        """
        if event['type'] == 'http.response.start':
            self._start = event
            return
        self._body += event.get('body', b'')
        if len(self._body) > MAX_BUFFERED_BYTES:
            raise IncompleteResponseError(_TOO_LARGE)
        if not event.get('more_body', False):
            await self._finish()

    async def fail(self, problem: Problem) -> None:
        """Send an error in place of a response that stays incomplete."""
        headers = [
            (b'content-type', MEDIA_PROBLEM.encode()),
            (OUTCOME_HEADER.encode(), problem.outcome.value.encode()),
        ]
        self._start = {
            'type': 'http.response.start',
            'status': problem.status,
            'headers': headers,
        }
        self._body = bytearray(encode_problem(problem))
        await self._finish()

    async def _finish(self) -> None:
        headers = [
            header for header in self._start['headers'] if header[0] != _LENGTH
        ]
        if self._start['status'] not in BODILESS_STATUSES:
            headers.append((_LENGTH, b'%d' % len(self._body)))
        await self._send({**self._start, 'headers': headers})
        await self._send(
            {'type': 'http.response.body', 'body': bytes(self._body)}
        )
