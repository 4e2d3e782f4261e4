"""Makes a connection that closes look broken to its peer."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    import asyncio

#: ``l_onoff`` and ``l_linger`` of SO_LINGER, seconds: discard unsent bytes and
#: send a reset (RFC 9293, section 3.10.4), or close in the background.
_RESET = struct.pack('ii', 1, 0)
_GRACEFUL = struct.pack('ii', 0, 0)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Send a reset when this connection closes, even if the process dies."""
    _set_linger(transport, _RESET)


def end_on_close(transport: asyncio.BaseTransport) -> None:
    """Send all bytes and a regular end when this connection closes."""
    _set_linger(transport, _GRACEFUL)


def _set_linger(transport: asyncio.BaseTransport, linger: bytes) -> None:
    sock = transport.get_extra_info('socket')
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError as exc:
        logger.warning('event=linger_not_set error={!r}', exc)
