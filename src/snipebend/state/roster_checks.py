"""Checks what another writer announces before it becomes part of the roster.

Performs no I/O.
"""

from __future__ import annotations

import re
from ipaddress import IPv4Address
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from snipebend.state.roster import UpstreamRecord

#: Longest identity, service or data centre, in characters: they stay in the
#: roster, and appear in log lines.
MAX_NAME_CHARS = 255

#: Largest number that a command can hold.
MAX_WHOLE = 0x7FFFFFFFFFFFFFFF

_PORT = re.compile('[0-9]{1,5}')
_MAX_PORT = 65_535


def find_faults(record: UpstreamRecord) -> tuple[str, ...]:
    """Return why a record can't be stored or used; empty if it can."""
    return tuple(_find(record))


def is_address(address: str) -> bool:
    """Return whether a connection can be opened to ``IPv4:port``."""
    host, _, port = address.rpartition(':')
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return _PORT.fullmatch(port) is not None and int(port) <= _MAX_PORT


def _find(record: UpstreamRecord) -> Iterator[str]:
    names = (record.identity, record.service, record.data_center)
    longest = max(map(len, names))
    if longest > MAX_NAME_CHARS:
        yield f'a name of {longest} characters, over {MAX_NAME_CHARS}'
    # An upstream that ends needs no address.
    if record.service and not is_address(record.address):
        yield f'{record.address[:MAX_NAME_CHARS]!r} is no address'
    largest = max(record.slots, record.born)
    if largest > MAX_WHOLE:
        yield f'a number over {MAX_WHOLE}'
