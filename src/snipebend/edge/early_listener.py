"""Listens for callers before the rest of an entry is loaded.

Loading takes 0.45 s. When all entries were killed, callers found no listener
for as long, came back once and found none again; now the kernel takes their
connections, and they are served as soon as the entry is there. It imports next
to nothing for that.
"""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

from snipebend.transport.listeners import open_listener

if TYPE_CHECKING:
    import socket
    from pathlib import Path


def open_early(path: Path) -> socket.socket | None:
    """Listen where a settings file says that callers connect.

    Nothing if that can't be read or listened at: the entry itself will tell
    what is wrong, with all else that is.
    """
    try:
        table = tomllib.loads(path.read_text(encoding='utf-8'))
        host, _, port = str(table['callers']).rpartition(':')
        return open_listener(host, int(port)) if host else None
    except (OSError, ValueError, KeyError):
        return None
