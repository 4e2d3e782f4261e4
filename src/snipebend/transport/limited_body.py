"""Reads the body of a request to a daemon, up to a limit."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import falcon

if TYPE_CHECKING:
    from falcon.asgi import Request


class BodyFault(NamedTuple):
    """Why a body can't be used, with the status that tells its sender."""

    status: str
    reason: str


async def read_body(req: Request, max_bytes: int) -> bytes | BodyFault:
    """Return the body of a request.

    A body that was cut off on its way may be accepted when it is sent again, so
    it must not be called invalid.
    """
    body = await req.stream.read(max_bytes + 1)
    if len(body) > max_bytes:
        return BodyFault(falcon.HTTP_413, f'over {max_bytes} bytes')
    if len(body) < (req.content_length or 0):
        reason = f'{len(body)} of {req.content_length} bytes arrived'
        return BodyFault(falcon.HTTP_503, reason)
    return body
