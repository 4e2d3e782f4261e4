"""Listening sockets; imports next to nothing, so that one is open at once."""

from __future__ import annotations

import socket

#: Milliseconds after which a connection is dropped whose other end takes no
#: data: it is silent, or its reader has stopped. Accepted connections inherit
#: the option (RFC 5482).
USER_TIMEOUT_MS = 60_000

#: Connections that may wait to be accepted.
BACKLOG = 2048


def open_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 lets the system choose."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        USER_TIMEOUT_MS,
    )
    sock.bind((host, port))
    sock.listen(BACKLOG)
    sock.setblocking(False)  # noqa: WPS425  # the flag is positional only
    return sock
