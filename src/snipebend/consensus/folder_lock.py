"""Keeps a second process out of a data folder."""

from __future__ import annotations

import fcntl
import os
from typing import TYPE_CHECKING

from snipebend.errors.hierarchy import UnavailableError

if TYPE_CHECKING:
    from pathlib import Path


class FolderLock:
    """An advisory lock on the folder itself, released when we end."""

    def __init__(self, folder: Path) -> None:
        """Keep the folder, which need not exist yet."""
        self._folder = folder
        self._descriptor = -1

    def acquire(self) -> None:
        """Take the lock.

        Raises:
            UnavailableError: when another process has it.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        self._descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            self.release()
            raise UnavailableError(
                f'{self._folder}: in use by another process',
                step='open data folder',
            ) from exc

    def release(self) -> None:
        """Give the lock back; safe to call twice."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
