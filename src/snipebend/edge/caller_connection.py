"""One caller's connection: reads requests, answers them one after another."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from loguru import logger

from snipebend.edge.answer_writer import AnswerWriter
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
CLOSE_TIMEOUT_S = 1.0

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestServer(Protocol):
    """What serves the requests of all connections."""

    @property
    def limits(self) -> CallerLimits:
        """Return the bounds in force."""

    @property
    def draining(self) -> bool:
        """Tell whether connections are to end after their answer."""

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
        self._writable = asyncio.Event()
        self._writable.set()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timed_for = ''
        self._closing = False

    @property
    def idle(self) -> bool:
        """Tell whether no request is in work or half read."""
        return self._task is None and not self._parser.partial

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._server.opened(self)
        self._watch_caller()

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
        self._stop_timer()
        if self._task is not None:
            self._task.cancel()
        self._server.closed(self)

    def close_if_idle(self) -> None:
        """Close between two requests."""
        if self.idle and not self._parser.requests:
            self._close()

    def cut(self) -> None:
        """Close whatever is under way."""
        self._closing = True
        self._transport.abort()

    def _advance(self) -> None:
        if self._task is None and not self._closing:
            self._begin_next()
        if self._closing:
            return
        if len(self._parser.requests) >= MAX_PIPELINED:
            self._transport.pause_reading()
        self._watch_caller()

    def _begin_next(self) -> None:
        if self._parser.requests:
            self._begin(self._parser.requests.popleft())
            return
        if self._parser.fault is not None:
            self._refuse(self._parser.fault)

    def _begin(self, req: WholeRequest) -> None:
        answer = AnswerWriter(
            self._transport,
            self._writable,
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
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            logger.error('event=serve_failed error={!r}', exc)
        finally:
            if not answer.ended:
                answer.abort()

    def _ended(self, keep: bool) -> None:
        self._task = None
        if not keep:
            self._close()
            return
        if self._closing:
            return
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
            chunks=False,
            keeps_open=lambda: False,
            on_end=self._ended,
        )
        answer.refuse(Problem(fault.status, fault.status.phrase, fault.detail), [])

    def _continue(self) -> None:
        if self._task is None and not self._parser.requests:
            self._transport.write(_CONTINUE)

    def _close(self) -> None:
        if self._closing:
            return
        self._closing = True
        self._stop_timer()
        self._transport.close()
        self._timer = self._loop.call_later(
            CLOSE_TIMEOUT_S, self._transport.abort
        )

    def _watch_caller(self) -> None:
        """Bound how long the caller takes for what is due next from it."""
        due = self._due()
        if due == self._timed_for:
            return
        self._stop_timer()
        self._timed_for = due
        limits = self._server.limits
        match due:
            case 'head':
                span_s = limits.header_timeout_s
            case 'body' | 'request':
                span_s = limits.idle_timeout_s
            case _:
                return
        self._timer = self._loop.call_later(span_s, self._timed_out, due)

    def _due(self) -> str:
        if self._task is not None:
            return 'nothing'
        if not self._parser.partial:
            return 'request'
        return 'body' if self._parser.head_read else 'head'

    def _timed_out(self, due: str) -> None:
        if due == 'request':
            self._close()
            return
        self._refuse(
            FramingFault(
                HTTPStatus.REQUEST_TIMEOUT, f'the {due} took too long'
            )
        )

    def _stop_timer(self) -> None:
        self._timed_for = ''
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
