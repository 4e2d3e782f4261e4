"""How a response marks the end of its body (RFC 9112, section 6.3)."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

#: Statuses of responses without a body (RFC 9110, section 6.4.1).
BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


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


def find_framing(status: int, header_names: Collection[str]) -> BodyFraming:
    """Return the framing of a response; the names are in lower case."""
    if 'transfer-encoding' in header_names:
        return BodyFraming.CHUNKED
    if 'content-length' in header_names or status in BODILESS_STATUSES:
        return BodyFraming.LENGTH
    return BodyFraming.CLOSE
