"""ASGI middleware that buffers request bodies and detects disconnects.

``falcon`` reads bodies, but does not report a caller that disconnects while
the response is produced. This middleware reads the body up to a limit, passes
it to the application, and then watches the connection. It also aborts the
connection of an incomplete response, so that the caller can detect it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, cast

from falcon.asgi import App
from loguru import logger

from snipebend.transport.buffered_response import BufferedResponse
from snipebend.transport.problems import (
    IncompleteResponseError,
    handle_failure,
    serialize_http_error,
)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

#: Keys that the middleware adds to the ASGI scope.
BODY_KEY = 'snipebend.body'
CONNECTION_KEY = 'snipebend.connection'

#: Bodies are truncated above 64 MiB, even if the fleet file allows more.
MAX_BODY_BYTES = 0x4000000


def default_body_limit() -> int:
    """Return the body limit for applications without a configured one."""
    return MAX_BODY_BYTES


class Connection:
    """The client side of one request; notifies listeners of a disconnect."""

    def __init__(self) -> None:
        """Initialize as connected."""
        self.disconnected = False
        #: Called after the response has been written or has failed.
        self.on_response_end: Callable[[], object] = bool
        self._listeners: list[Callable[[], object]] = []

    def on_disconnect(self, listener: Callable[[], object]) -> None:
        """Call ``listener`` on disconnect; immediately if it has happened."""
        if self.disconnected:
            listener()
            return
        self._listeners.append(listener)

    def close(self) -> None:
        """Mark the client as disconnected and call all listeners."""
        self.disconnected = True
        listeners = tuple(self._listeners)
        self._listeners.clear()
        for listener in listeners:
            listener()


def build_sink_app(
    serve: Callable[..., Awaitable[None]],
    body_limit: Callable[[], int],
) -> Application:
    """Build an application that passes every request to one function.

    Reading of a body stops once it exceeds ``body_limit()`` bytes, so that the
    function can detect that it is too long.
    """
    app = App()
    app.add_sink(cast(Any, serve), prefix='/')
    app.set_error_serializer(cast(Any, serialize_http_error))
    app.add_error_handler(Exception, cast(Any, handle_failure))
    return BodyAndDisconnect(cast(Application, app), body_limit)


class BodyAndDisconnect:
    """Middleware that adds the body and the connection to the scope."""

    def __init__(
        self,
        app: Application,
        body_limit: Callable[[], int],
    ) -> None:
        """Initialize with the wrapped application."""
        self._app = app
        self._body_limit = body_limit

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        body = await _read_body(receive, self._body_limit())
        if body is None:
            logger.info('event=request_broken_off path={!r}', scope['path'])
            return
        connection = Connection()
        scope[BODY_KEY] = body
        scope[CONNECTION_KEY] = connection
        watcher = asyncio.create_task(_watch_disconnect(receive, connection))
        try:
            await self._respond(scope, _build_receive(connection), send)
        except Exception as exc:
            logger.error('event=answer_failed reason={!r}', exc)
            raise
        finally:
            watcher.cancel()
            connection.on_response_end()

    async def _respond(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        buffered = BufferedResponse(send) if _lacks_chunks(scope) else None
        try:
            await self._app(scope, receive, buffered.send if buffered else send)
        except IncompleteResponseError as exc:
            # The server aborts the connection of an incomplete response.
            logger.debug('event=answer_aborted reason={!r}', str(exc))
            if buffered is not None:
                await buffered.fail(exc.problem)


def _lacks_chunks(scope: Scope) -> bool:
    return bool(scope['http_version'] == '1.0' and scope['method'] != 'HEAD')


async def _read_body(receive: Receive, limit: int) -> bytes | None:
    """Return the body up to the limit; None if its sender disconnects."""
    parts: list[bytes] = []
    size = 0
    while size <= limit:
        event = await receive()
        if event['type'] == 'http.disconnect':
            return None
        part = event.get('body', b'')
        parts.append(part)
        size += len(part)
        if not event.get('more_body', False):
            break
    return b''.join(parts)


async def _watch_disconnect(receive: Receive, connection: Connection) -> None:
    while not connection.disconnected:
        event = await receive()
        if event['type'] == 'http.disconnect':
            connection.close()


def _build_receive(connection: Connection) -> Receive:
    delivered = False

    async def receive() -> Any:
        nonlocal delivered  # noqa: WPS420  # the only state of this function
        if not delivered:
            delivered = True
            return {'type': 'http.request', 'body': b'', 'more_body': False}
        closed = asyncio.Event()
        connection.on_disconnect(closed.set)
        await closed.wait()
        return {'type': 'http.disconnect'}

    return receive
