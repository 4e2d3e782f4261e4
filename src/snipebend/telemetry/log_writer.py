"""Writes log lines from a bounded buffer in a separate thread.

Logging never blocks: if the reader of standard output stops reading, only this
thread stops. Lines that don't fit into the buffer are dropped and counted.
"""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from typing import TYPE_CHECKING

from snipebend.telemetry.log_limits import LogLimits

if TYPE_CHECKING:
    from collections.abc import Callable

#: Buffer size in bytes, about ten seconds of a busy entry's log lines.
MAX_BUFFERED_BYTES = 1_048_576

#: Seconds that ``close`` waits until the buffered lines are written.
CLOSE_TIMEOUT_S = 0.5

_EVENT = 'event='


class LogWriter:
    """A log sink that writes to a file descriptor."""

    def __init__(
        self,
        descriptor: int,
        limits: LogLimits | None = None,
        render: Callable[[str], str] | None = None,
    ) -> None:
        """Start the thread; ``render`` converts each line there."""
        self._render = render
        #: Lines dropped since the last buffered one, and in total.
        self.dropped = 0
        self.dropped_total = 0
        self._descriptor = descriptor
        self._limits = limits or LogLimits()
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        # Held only to update the byte count, never during a write.
        self._lock = threading.Lock()
        self._has_lines = threading.Event()
        self._closing = False
        self._thread = threading.Thread(
            target=self._write_until_closed, name='log-writer', daemon=True
        )
        self._thread.start()

    def __call__(self, line: str) -> None:
        """Buffer a line or drop it, without blocking."""
        for suppressed in self._limits.start_second(time.monotonic()):
            self._put(
                f'level=WARNING event=log_lines_suppressed '
                f'of={suppressed.event} number={suppressed.number}\n'
            )
        if self._limits.allow(_event_of(line)):
            self._put(line)

    def close(self) -> None:
        """Write the buffered lines, for at most ``CLOSE_TIMEOUT_S``."""
        self._closing = True
        self._has_lines.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _put(self, line: str) -> None:
        data = line.encode()
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self.dropped_total += 1
            return
        if self.dropped:
            notice = (
                f'level=WARNING event=log_lines_dropped number={self.dropped}'
            )
            self.dropped = 0
            data = f'{notice}\n'.encode() + data
        with self._lock:
            self._buffered_bytes += len(data)
        self._buffer.append(data)
        self._has_lines.set()

    def _write_until_closed(self) -> None:
        while not (self._closing and not self._buffer):
            self._has_lines.wait()
            self._has_lines.clear()
            if not self._write_buffered():
                return

    def _rendered(self, data: bytes) -> bytes:
        if self._render is None:
            return data
        # A line after dropped ones is preceded by the line that reports them.
        lines = data.decode().splitlines(keepends=True)
        return ''.join(map(self._render, lines)).encode()

    def _write_buffered(self) -> bool:
        """Write the buffered lines; return False if the reader is closed."""
        while self._buffer:
            data = self._buffer.popleft()
            try:
                _write_all(self._descriptor, self._rendered(data))
            except OSError:
                # The reader is closed, so the error can't be logged either.
                return False
            with self._lock:
                self._buffered_bytes -= len(data)
        return True


def _write_all(descriptor: int, data: bytes) -> None:
    while data:
        data = data[os.write(descriptor, data) :]


def _event_of(line: str) -> str:
    start = line.find(_EVENT)
    if start < 0:
        return ''
    return line[start + len(_EVENT) :].split(maxsplit=1)[0]
