"""Writes log lines from a bounded buffer, in a thread of its own.

Whoever logs never waits: a reader of standard output that stops reading stops
the thread, not the process. What doesn't fit is dropped and counted.
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

#: Bytes of lines that may wait, about ten seconds of a busy entry's.
MAX_WAITING_BYTES = 1_048_576

#: Seconds that the end of the process waits for the last lines.
CLOSE_TIMEOUT_S = 0.5

_EVENT = 'event='


class LogWriter:
    """A sink for log lines on one file descriptor."""

    def __init__(
        self,
        descriptor: int,
        limits: LogLimits | None = None,
        render: Callable[[str], str] | None = None,
    ) -> None:
        """Start the thread, in which ``render`` puts lines in another form."""
        self._render = render
        #: Lines dropped since the last one that fitted, and in all.
        self.dropped = 0
        self.dropped_in_all = 0
        self._descriptor = descriptor
        self._limits = limits or LogLimits()
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        # Held for one addition only, never while anything is written.
        self._lock = threading.Lock()
        self._filled = threading.Event()
        self._closing = False
        self._thread = threading.Thread(
            target=self._write_for_ever, name='log-writer', daemon=True
        )
        self._thread.start()

    def __call__(self, line: str) -> None:
        """Take a line, or drop it; never wait."""
        for left_out in self._limits.turn(time.monotonic()):
            self._put(
                f'level=WARNING event=log_lines_suppressed '
                f'of={left_out.event} number={left_out.number}\n'
            )
        if self._limits.allow(_event_of(line)):
            self._put(line)

    def close(self) -> None:
        """Write what waits, unless that takes too long."""
        self._closing = True
        self._filled.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _put(self, line: str) -> None:
        data = line.encode()
        if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            self.dropped_in_all += 1
            return
        if self.dropped:
            lost = (
                f'level=WARNING event=log_lines_dropped number={self.dropped}'
            )
            self.dropped = 0
            data = f'{lost}\n'.encode() + data
        with self._lock:
            self._waiting_bytes += len(data)
        self._waiting.append(data)
        self._filled.set()

    def _write_for_ever(self) -> None:
        while not (self._closing and not self._waiting):
            self._filled.wait()
            self._filled.clear()
            if not self._write_waiting():
                return

    def _rendered(self, data: bytes) -> bytes:
        if self._render is None:
            return data
        # A line that comes after dropped ones stands behind that news.
        lines = data.decode().splitlines(keepends=True)
        return ''.join(map(self._render, lines)).encode()

    def _write_waiting(self) -> bool:
        """Write what waits; return False when nobody reads any more."""
        while self._waiting:
            data = self._waiting.popleft()
            try:
                _write_all(self._descriptor, self._rendered(data))
            except OSError:
                # The reader is gone: there is nowhere left to say so.
                return False
            with self._lock:
                self._waiting_bytes -= len(data)
        return True


def _write_all(descriptor: int, data: bytes) -> None:
    while data:
        data = data[os.write(descriptor, data) :]


def _event_of(line: str) -> str:
    start = line.find(_EVENT)
    if start < 0:
        return ''
    return line[start + len(_EVENT) :].split(maxsplit=1)[0]
