"""One caller's connection: parses requests and serves them in order."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol, cast

from loguru import logger

from snipebend.edge.caller_parser import CallerParser, CompleteRequest
from snipebend.edge.caller_timer import AwaitedInput, CallerTimer
from snipebend.edge.framing import FramingFault
from snipebend.edge.reader_watch import ReaderWatch
from snipebend.edge.response_writer import ResponseWriter
from snipebend.transport.abortive_close import reset_on_close
from snipebend.transport.problems import Problem

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from snipebend.hosts.model import CallerLimits
    from snipebend.relay.buffer_budget import BufferBudget, BufferHold
    from snipebend.relay.facts import RequestHead

#: Complete requests that may queue behind the current one before reading from
#: the connection is paused.
MAX_PIPELINED = 4

#: Seconds for a caller to read the last response before the connection is
#: reset.
CLOSE_TIMEOUT_S = 5.0

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestServer(Protocol):
    """The server behind all caller connections."""

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    @property
    def buffers(self) -> BufferBudget | None:
        """Return the budget of what is held for callers, if there is one."""

    @property
    def draining(self) -> bool:
        """Return whether connections close after the current response."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def serve(
        self, req: CompleteRequest, response: ResponseWriter
    ) -> Coroutine[Any, Any, None]:
        """Serve a request; cancelled when the caller disconnects."""

    def hold_body(self, head: RequestHead, size: int) -> BufferHold | None:
        """Hold memory for a body, or return None if there is none."""

    def refuse_body(self, head: RequestHead, response: ResponseWriter) -> None:
        """Refuse a request for whose body there is no memory."""

    def let_go(self, stalled_s: float, size: int, workspace: str) -> None:
        """Record that a caller is cut off because it reads nothing."""

    def connection_opened(self, conn: CallerConnection) -> None:
        """Register a new connection."""

    def connection_closed(self, conn: CallerConnection) -> None:
        """Unregister a connection that has closed."""


class CallerConnection(asyncio.Protocol):
    """Protocol of one caller's connection."""

    def __init__(self, server: RequestServer) -> None:
        """Keep the server of the requests."""
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = CallerParser(
            lambda: server.limits,
            self._send_continue,
            None if server.buffers is None else server.hold_body,
        )
        self._timer = CallerTimer(lambda: server.limits, self._handle_timeout)
        self._reader = ReaderWatch(server.buffers, self._let_go)
        self._task: asyncio.Task[None] | None = None
        self._body_hold: BufferHold | None = None
        self._closing = False
        self._reset_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        self._transport = cast(asyncio.Transport, transport)
        self._reader.connect(self._transport)
        self._server.connection_opened(self)
        self._advance()

    def data_received(self, data: bytes) -> None:
        """Parse the bytes and start a request that is complete."""
        if self._closing:
            return
        self._parser.feed(data)
        self._advance()

    def eof_received(self) -> bool:
        """Treat the end of the caller's input as a disconnect."""
        return False

    def pause_writing(self) -> None:
        """Pause writing responses: the caller reads too slowly."""
        self._reader.pause()

    def resume_writing(self) -> None:
        """Resume writing responses."""
        self._reader.resume()
        self._advance()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._closing = True
        self._timer.stop()
        self._reader.stop()
        self._parser.close()
        # A task that is cancelled before its first step ends no response.
        self._release_body()
        if self._reset_timer is not None:
            self._reset_timer.cancel()
        if self._task is not None:
            self._task.cancel()
        self._server.connection_closed(self)

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress or incomplete."""
        if self._task is None and not self._parser.incomplete:
            self._close()

    def abort(self) -> None:
        """Close the connection regardless of requests in progress."""
        self._closing = True
        self._transport.abort()

    def _advance(self) -> None:
        """Start the next request, if there is one and none is in progress.

        Responses must not pile up for a caller that doesn't read them.
        """
        is_free = self._task is None and self._reader.writable.is_set()
        if is_free and not self._closing:
            if self._parser.requests:
                self._begin(self._parser.requests.popleft())
            elif self._parser.refused_head is not None:
                self._refuse_body(self._parser.refused_head)
            elif self._parser.fault is not None:
                self._refuse(self._parser.fault)
        if self._closing:
            return
        if len(self._parser.requests) >= MAX_PIPELINED:
            self._transport.pause_reading()
        self._timer.expect(self._awaited_input())

    def _begin(self, req: CompleteRequest) -> None:
        self._body_hold = req.body_hold
        response = ResponseWriter(
            self._transport,
            self._reader,
            now=self._server.now,
            supports_chunks=req.accepts_chunks,
            can_keep_alive=lambda: self._can_keep_alive(req),
            on_end=self._handle_response_end,
        )
        self._task = self._loop.create_task(self._serve(req, response))

    def _can_keep_alive(self, req: CompleteRequest) -> bool:
        if self._server.draining or self._parser.fault is not None:
            return False
        return req.keep_alive

    async def _serve(
        self, req: CompleteRequest, response: ResponseWriter
    ) -> None:
        try:
            await self._server.serve(req, response)
        except Exception as exc:
            logger.error('event=serve_failed error={!r}', exc)
        finally:
            if not response.ended:
                response.abort()

    def _handle_response_end(self, keep: bool) -> None:
        self._task = None
        self._release_body()
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
        self._make_last_response(self._handle_response_end).write_problem(
            Problem(fault.status, fault.status.phrase, fault.detail), []
        )

    def _refuse_body(self, head: RequestHead) -> None:
        """Refuse a request before its body is read."""
        self._server.refuse_body(
            head, self._make_last_response(lambda _: self._end_output())
        )

    def _make_last_response(
        self, on_end: Callable[[bool], None]
    ) -> ResponseWriter:
        return ResponseWriter(
            self._transport,
            self._reader,
            now=self._server.now,
            supports_chunks=False,
            can_keep_alive=lambda: False,  # noqa: WPS522  # `bool` reads worse
            on_end=on_end,
        )

    def _end_output(self) -> None:
        """Close once the caller does; what it still sends is dropped.

        Closing before would reset the connection, and the caller might lose
        the response.
        """
        self._closing = True
        self._timer.stop()
        self._transport.write_eof()
        self._reset_timer = self._loop.call_later(CLOSE_TIMEOUT_S, self._reset)

    def _release_body(self) -> None:
        if self._body_hold is not None:
            self._body_hold.release()
            self._body_hold = None

    def _let_go(self, stalled_s: float, size: int) -> None:
        self._server.let_go(stalled_s, size, self._reader.workspace)
        self._reset()

    def _send_continue(self) -> None:
        if self._task is None and not self._parser.requests:
            self._transport.write(_CONTINUE)

    def _close(self) -> None:
        if self._closing:
            return
        self._closing = True
        self._timer.stop()
        self._transport.close()
        if self._transport.get_write_buffer_size() and self._reader.watch():
            return
        self._reset_timer = self._loop.call_later(CLOSE_TIMEOUT_S, self._reset)

    def _reset(self) -> None:
        """Drop the rest of a response that its caller has not read."""
        reset_on_close(self._transport)
        self._transport.abort()

    def _awaited_input(self) -> AwaitedInput:
        if self._task is not None or self._reader.is_watching:
            return AwaitedInput.NOTHING
        if not self._parser.incomplete:
            return AwaitedInput.REQUEST
        return (
            AwaitedInput.BODY
            if self._parser.head_complete
            else AwaitedInput.HEAD
        )

    def _handle_timeout(self, awaited: AwaitedInput) -> None:
        if awaited is AwaitedInput.REQUEST:
            self._close()
            return
        self._refuse(
            FramingFault(
                HTTPStatus.REQUEST_TIMEOUT, f'the {awaited.value} took too long'
            )
        )
