"""ASGI middleware by which a handler learns that its caller has left.

Frameworks hand a handler the body of its request, and no news of the connection
while it works.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from contextlib import asynccontextmanager
from typing import Any

from loguru import logger

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Any]]
Application = Callable[[Scope, Receive, Any], Awaitable[None]]

#: Key of the server's ``receive`` function in the ASGI scope.
RECEIVE_KEY = 'snipebend.receive'


class CallerWatch:
    """Passes the server's ``receive`` on to handlers in the scope."""

    def __init__(self, app: Application) -> None:
        """Wrap an application."""
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Any) -> None:
        """Serve one request."""
        scope[RECEIVE_KEY] = receive
        await self._app(scope, receive, send)


@asynccontextmanager
async def watch_caller(scope: Scope) -> AsyncIterator[Callable[[], bool]]:
    """Return a function that tells whether the caller has disconnected.

    The body must have been read. An error of the server isn't a departure.
    """
    departure = asyncio.create_task(_wait_for_departure(scope[RECEIVE_KEY]))
    try:
        yield lambda: departure.done() and departure.result()
    finally:
        departure.cancel()


async def _wait_for_departure(receive: Receive) -> bool:
    while True:
        try:
            event = await receive()
        except Exception as exc:
            logger.warning('event=caller_watch_failed error={!r}', exc)
            return False
        if event['type'] == 'http.disconnect':
            return True
