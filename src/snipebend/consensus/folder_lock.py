"""Prevents two processes from using the same data folder."""

from __future__ import annotations

import fcntl
import os
from typing import TYPE_CHECKING

from snipebend.errors.hierarchy import UnavailableError

if TYPE_CHECKING:
    from pathlib import Path


class FolderLock:
    """An advisory lock on the folder, released when the process exits."""

    def __init__(self, folder: Path) -> None:
        """Prepare the lock; the folder need not exist yet."""
        self._folder = folder
        self._descriptor = -1

    def acquire(self) -> None:
        """Acquire the lock; create the folder if necessary.

        Raises:
            UnavailableError: if another process holds it.
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
        """Release the lock; does nothing if it is not held."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
