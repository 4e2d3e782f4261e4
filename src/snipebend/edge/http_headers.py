"""HTTP/1.1 headers, and those of one connection only (RFC 9110, 7.6.1)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from snipebend.relay.facts import Headers

#: The last header is followed by its line end and an empty line.
_END_OF_HEAD = b'\r\n'

CONNECTION = b'connection'
CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'

_PER_CONNECTION = frozenset(
    (
        CONNECTION,
        TRANSFER_ENCODING,
        CONTENT_LENGTH,
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'upgrade',
        b'expect',
    )
)


def find_all(headers: Headers, name: bytes) -> list[bytes]:
    """Return the values of a header; the name is in lower case."""
    return [
        header_value
        for header_name, header_value in headers
        if header_name.lower() == name
    ]


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the options in the ``Connection`` headers, in lower case."""
    return frozenset(
        option.strip().lower()
        for line in find_all(headers, CONNECTION)
        for option in line.split(b',')
    )


def end_to_end(headers: Headers) -> Headers:
    """Return the headers to forward on another connection.

    The length of the body is dropped as well: each connection has its own
    framing.
    """
    listed = connection_options(headers)
    return tuple(
        (name, header_value)
        for name, header_value in headers
        if not _is_dropped(name.lower(), listed)
    )


def _is_dropped(name: bytes, listed: frozenset[bytes]) -> bool:
    return name in _PER_CONNECTION or name in listed


def encode_head(first_line: bytes, headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the bytes of a message's head."""
    lines = [first_line]
    lines.extend(
        b'%b: %b' % (name, header_value) for name, header_value in headers
    )
    lines.append(_END_OF_HEAD)
    return b'\r\n'.join(lines)
