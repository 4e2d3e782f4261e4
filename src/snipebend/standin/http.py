"""Small helpers that the stand-ins' HTTP resources share."""

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


class ReceivingApp(App[Any, Any]):
    """A falcon app whose resources can wait for the caller's disconnect."""

    # The typed base is the WSGI app, whose call has another signature.
    async def __call__(  # type: ignore[override]
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[Any]],
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Handle one connection event and keep ``receive`` in its scope."""
        scope[RECEIVE_KEY] = receive
        await super().__call__(scope, receive, send)


async def wait_disconnect(req: Request) -> None:
    """Return once the caller is gone; its body must have been read."""
    receive = req.scope[RECEIVE_KEY]
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            return


async def read_body(
    req: Request,
    kind: type[Body],
) -> tuple[Body, bytes]:
    """Read and check a JSON body; a bad one is answered with 400."""
    raw = await req.stream.read()
    try:
        return json.decode(raw, type=kind), raw
    except DecodeError as exc:
        raise HTTPBadRequest(title='bad body', description=str(exc))


def send_json(resp: Response, content: object) -> None:
    """Answer with a message as JSON."""
    resp.content_type = MEDIA_JSON
    resp.data = json.encode(content)


class Healthz:
    """``GET /healthz``: alive as soon as it answers."""

    async def on_get(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Answer 200."""
        send_json(resp, {'status': 'ok'})
