"""Reading the whole body first and noticing the caller's disconnect.

``falcon`` reads bodies, but tells nothing of a caller that hangs up while the
answer is being made. This layer reads the body up to a bound, hands it on, and
then watches the connection. It also breaks an answer off visibly.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, cast

from falcon.asgi import App
from loguru import logger

from snipebend.transport.problems import handle_failure, serialize_http_error

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

#: Keys under which the layer adds to the ASGI scope.
BODY_KEY = 'snipebend.body'
CONNECTION_KEY = 'snipebend.connection'

#: Bodies beyond 64 MiB are cut, whatever the fleet file allows.
MAX_BODY_BYTES = 0x4000000


def largest_body() -> int:
    """Return the limit of those who have no other."""
    return MAX_BODY_BYTES


class BrokenAnswerError(Exception):
    """The answer can't get complete; its connection is to be aborted."""


class Connection:
    """The other end of one request: tells once that it is gone."""

    def __init__(self) -> None:
        """Begin with the other end there."""
        self.gone = False
        #: Called once the answer has been written, or has failed.
        self.on_answered: Callable[[], object] = bool
        self._listeners: list[Callable[[], object]] = []

    def when_gone(self, listener: Callable[[], object]) -> None:
        """Call ``listener`` once the other end is gone, maybe at once."""
        if self.gone:
            listener()
            return
        self._listeners.append(listener)

    def close(self) -> None:
        """Tell all listeners."""
        self.gone = True
        listeners = tuple(self._listeners)
        self._listeners.clear()
        for listener in listeners:
            listener()


def build_sink_app(
    serve: Callable[..., Awaitable[None]],
    body_limit: Callable[[], int],
) -> Application:
    """Build an application that hands every request to one function.

    A body beyond ``body_limit()`` bytes is cut right after the limit, so that
    the function sees that it is too long.
    """
    app = App()
    app.add_sink(cast(Any, serve), prefix='/')
    app.set_error_serializer(cast(Any, serialize_http_error))
    app.add_error_handler(Exception, cast(Any, handle_failure))
    return BodyAndDisconnect(cast(Application, app), body_limit)


class BodyAndDisconnect:
    """Adds the body and the connection to the scope."""

    def __init__(
        self,
        app: Application,
        body_limit: Callable[[], int],
    ) -> None:
        """Wrap an application."""
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
        connection = Connection()
        scope[BODY_KEY] = await _read_body(receive, self._body_limit())
        scope[CONNECTION_KEY] = connection
        watcher = asyncio.create_task(_watch(receive, connection))
        try:
            await self._app(scope, _replay(connection), send)
        except BrokenAnswerError:
            # The server aborts the connection of an answer without its end.
            logger.debug('event=answer_aborted')
        except Exception as exc:
            logger.error('event=answer_failed reason={!r}', exc)
            raise
        finally:
            watcher.cancel()
            connection.on_answered()


async def _read_body(receive: Receive, limit: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while size <= limit:
        event = await receive()
        part = event.get('body', b'')
        parts.append(part)
        size += len(part)
        if not event.get('more_body', False):
            break
    return b''.join(parts)


async def _watch(receive: Receive, connection: Connection) -> None:
    while not connection.gone:
        event = await receive()
        if event['type'] == 'http.disconnect':
            connection.close()


def _replay(connection: Connection) -> Receive:
    delivered = False

    async def receive() -> Any:
        nonlocal delivered  # noqa: WPS420  # the one state of this function
        if not delivered:
            delivered = True
            return {'type': 'http.request', 'body': b'', 'more_body': False}
        closed = asyncio.Event()
        connection.when_gone(closed.set)
        await closed.wait()
        return {'type': 'http.disconnect'}

    return receive
