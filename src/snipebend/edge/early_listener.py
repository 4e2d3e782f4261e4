"""Listens for callers before the rest of an entry is loaded.

Loading takes 0.45 s. When all entries were killed, callers found no listener
for that time, retried once and found none again; now the kernel accepts their
connections, which are served as soon as the entry has loaded. Therefore this
module imports next to nothing.
"""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

from snipebend.transport.listeners import open_listener

if TYPE_CHECKING:
    import socket
    from pathlib import Path


def open_early(path: Path) -> socket.socket | None:
    """Listen on the callers' address in a settings file.

    Return None if the file can't be read or the address not be listened on: the
    entry itself reports this, together with all other faults of its settings.
    """
    try:
        table = tomllib.loads(path.read_text(encoding='utf-8'))
        host, _, port = str(table['callers']).rpartition(':')
        return open_listener(host, int(port)) if host else None
    except (OSError, ValueError, KeyError):
        return None
