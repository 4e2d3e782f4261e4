"""One caller's connection: reads requests, answers them one after another."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol, cast

from loguru import logger

from snipebend.edge.answer_writer import AnswerWriter
from snipebend.edge.caller_timer import CallerTimer, Due
from snipebend.edge.caller_parser import CallerParser, WholeRequest
from snipebend.edge.framing import FramingFault
from snipebend.transport.problems import Problem

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from snipebend.hosts.model import CallerLimits

#: Whole requests that may wait behind the one in work before the connection
#: is read no further.
MAX_PIPELINED = 4

#: Seconds for a caller to take the last answer before its connection is cut.
CLOSE_TIMEOUT_S = 5.0

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestServer(Protocol):
    """What serves the requests of all connections."""

    @property
    def limits(self) -> CallerLimits:
        """Return the bounds in force."""

    @property
    def draining(self) -> bool:
        """Tell whether connections are to end after their answer."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def serve(
        self, req: WholeRequest, answer: AnswerWriter
    ) -> Coroutine[Any, Any, None]:
        """Answer a request; cancelled when its caller leaves."""

    def opened(self, conn: CallerConnection) -> None:
        """Note a new connection."""

    def closed(self, conn: CallerConnection) -> None:
        """Note that a connection has ended."""


class CallerConnection(asyncio.Protocol):
    """Owns the transport of one caller."""

    def __init__(self, server: RequestServer) -> None:
        """Keep the server of the requests."""
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = CallerParser(lambda: server.limits, self._continue)
        self._timer = CallerTimer(lambda: server.limits, self._late)
        self._writable = asyncio.Event()
        self._writable.set()
        self._task: asyncio.Task[None] | None = None
        self._closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.opened(self)
        self._advance()

    def data_received(self, data: bytes) -> None:
        """Read on, and begin what is whole."""
        if self._closing:
            return
        self._parser.feed(data)
        self._advance()

    def eof_received(self) -> bool:
        """Take the end of what a caller sends as its leaving."""
        return False

    def pause_writing(self) -> None:
        """Let answers wait: the caller takes too little."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let answers go on."""
        self._writable.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Break off what the caller waited for."""
        self._closing = True
        self._timer.stop()
        if self._task is not None:
            self._task.cancel()
        self._server.closed(self)

    def close_if_idle(self) -> None:
        """Close between two requests."""
        if self._task is None and not self._parser.partial:
            self._close()

    def cut(self) -> None:
        """Close whatever is under way."""
        self._closing = True
        self._transport.abort()

    def _advance(self) -> None:
        """Begin the next request, if there is one and none is in work."""
        if self._task is None and not self._closing:
            if self._parser.requests:
                self._begin(self._parser.requests.popleft())
            elif self._parser.fault is not None:
                self._refuse(self._parser.fault)
        if self._closing:
            return
        if len(self._parser.requests) >= MAX_PIPELINED:
            self._transport.pause_reading()
        self._timer.expect(self._due())

    def _begin(self, req: WholeRequest) -> None:
        answer = AnswerWriter(
            self._transport,
            self._writable,
            now=self._server.now,
            chunks=req.chunks,
            keeps_open=lambda: self._keeps_open(req),
            on_end=self._ended,
        )
        self._task = self._loop.create_task(self._serve(req, answer))

    def _keeps_open(self, req: WholeRequest) -> bool:
        if self._server.draining or self._parser.fault is not None:
            return False
        return req.keep_alive

    async def _serve(self, req: WholeRequest, answer: AnswerWriter) -> None:
        try:
            await self._server.serve(req, answer)
        except Exception as exc:
            logger.error('event=serve_failed error={!r}', exc)
        finally:
            if not answer.ended:
                answer.abort()

    def _ended(self, keep: bool) -> None:
        self._task = None
        if not keep:
            self._close()
        elif not self._closing:
            self._transport.resume_reading()
            self._advance()

    def _refuse(self, fault: FramingFault) -> None:
        logger.info(
            'event=request_unreadable status={} detail={!r} peer={}',
            fault.status.value,
            fault.detail,
            self._transport.get_extra_info('peername'),
        )
        answer = AnswerWriter(
            self._transport,
            self._writable,
            now=self._server.now,
            chunks=False,
            keeps_open=lambda: False,  # noqa: WPS522  # `bool` reads worse
            on_end=self._ended,
        )
        answer.refuse(
            Problem(fault.status, fault.status.phrase, fault.detail), []
        )

    def _continue(self) -> None:
        if self._task is None and not self._parser.requests:
            self._transport.write(_CONTINUE)

    def _close(self) -> None:
        if self._closing:
            return
        self._closing = True
        self._timer.stop()
        self._transport.close()
        self._loop.call_later(CLOSE_TIMEOUT_S, self._transport.abort)

    def _due(self) -> Due:
        if self._task is not None:
            return Due.NOTHING
        if not self._parser.partial:
            return Due.REQUEST
        return Due.BODY if self._parser.head_read else Due.HEAD

    def _late(self, due: Due) -> None:
        if due is Due.REQUEST:
            self._close()
            return
        self._refuse(
            FramingFault(
                HTTPStatus.REQUEST_TIMEOUT, f'the {due.value} took too long'
            )
        )
