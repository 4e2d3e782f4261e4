"""Helpers shared by the HTTP resources of the stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from falcon import MEDIA_JSON, HTTPBadRequest
from falcon.asgi import App
from msgspec import DecodeError, json

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from falcon.asgi import Request, Response

RECEIVE_KEY = 'snipebend.receive'

Body = TypeVar('Body')


class DisconnectAwareApp(App[Any, Any]):
    """A falcon app whose resources can wait until the caller disconnects."""

    # The base class is typed as the WSGI app, whose __call__ has another
    # signature.
    async def __call__(  # type: ignore[override]
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[Any]],
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Handle a request and store ``receive`` in its scope."""
        scope[RECEIVE_KEY] = receive
        await super().__call__(scope, receive, send)


async def wait_for_disconnect(req: Request) -> None:
    """Return once the caller has disconnected.

    The request body must have been read: its events come from the same
    ``receive``.
    """
    receive = req.scope[RECEIVE_KEY]
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            return


async def read_body(
    req: Request,
    kind: type[Body],
) -> tuple[Body, bytes]:
    """Read and decode a JSON body; an invalid one gets the status 400."""
    raw = await req.stream.read()
    try:
        return json.decode(raw, type=kind), raw
    except DecodeError as exc:
        raise HTTPBadRequest(title='bad body', description=str(exc))


def send_json(resp: Response, content: object) -> None:
    """Respond with an object as JSON."""
    resp.content_type = MEDIA_JSON
    resp.data = json.encode(content)


class Healthz:
    """``GET /healthz``: responds as soon as the server is running."""

    async def on_get(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Respond with 200."""
        send_json(resp, {'status': 'ok'})
