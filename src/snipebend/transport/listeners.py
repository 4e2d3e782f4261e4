"""Opens listening sockets.

Imports only the standard library, so that a socket can be opened early in the
start of a process.
"""

from __future__ import annotations

import socket

#: Milliseconds after which a connection is closed if the peer accepts no data:
#: it is unresponsive, or has stopped reading. Accepted connections inherit the
#: option (RFC 5482).
USER_TIMEOUT_MS = 60_000

#: Most connections that wait to be accepted.
BACKLOG = 2048


def open_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket; with port 0 the system chooses a port."""
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
