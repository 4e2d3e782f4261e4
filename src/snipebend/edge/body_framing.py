"""How a response marks the end of its body (RFC 9112, section 6.3)."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from snipebend.edge.http_headers import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    find_all,
)

if TYPE_CHECKING:
    from snipebend.relay.facts import ResponseHead

_BODILESS = frozenset((204, 304))


class BodyFraming(Enum):
    """What marks the end of a body."""

    #: A stated length; 0 for a response without a body.
    LENGTH = 'length'
    #: The last chunk.
    CHUNKED = 'chunked'
    #: The end of the connection.
    CLOSE = 'close'


def framing_name(framing: BodyFraming | None) -> str:
    """Return the name of a framing for logs and metrics."""
    return framing.value if framing else 'none'


def find_framing(head: ResponseHead) -> BodyFraming:
    """Return the framing of a response's body."""
    if find_all(head.headers, TRANSFER_ENCODING):
        return BodyFraming.CHUNKED
    if find_all(head.headers, CONTENT_LENGTH) or head.status in _BODILESS:
        return BodyFraming.LENGTH
    return BodyFraming.CLOSE
