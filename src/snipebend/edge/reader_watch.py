"""Watches whether a caller reads what was written for it.

A response is read from its upstream ahead of a slow caller, as far as there is
memory: the upstream is free sooner. Without room the upstream has to wait, and
upstreams cut off a response that stays unread for some seconds. A caller that
reads nothing meanwhile is let go before that, so that the slot is free.
"""

from __future__ import annotations

import asyncio
from fcntl import ioctl
from socket import SO_SNDBUF, SOL_SOCKET
from struct import Struct
from termios import TIOCOUTQ
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.relay.buffer_budget import UNCOUNTED_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.relay.buffer_budget import BufferBudget, BufferHold

#: Seconds without a byte read after which a caller is let go while its upstream
#: waits for it. Callers with small windows acknowledge in steps of two seconds
#: and more.
STALLED_AFTER_S = 3.0

#: The same while no upstream waits: nothing but memory is held up.
STALLED_AHEAD_AFTER_S = 15.0

#: Bytes that may be read ahead of one caller.
MAX_AHEAD_BYTES = 1_048_576

#: Seconds between two checks of a caller that doesn't read.
CHECK_INTERVAL_S = 0.25

#: Bytes that the kernel may hold for one caller. Its own bound is some
#: megabytes, and would take the memory of the VM before a caller seems slow.
MAX_SENT_AHEAD_BYTES = 65_536

_INT = Struct('i')


class ReaderWatch:
    """What one caller still has to read, counted by the budget."""

    def __init__(
        self,
        budget: BufferBudget | None,
        on_stalled: Callable[[float, int], None],
    ) -> None:
        """Create for a connection; ``on_stalled`` lets its caller go.

        It receives the seconds without progress, and the bytes not read.
        Without a budget no caller is let go.
        """
        #: Of the request in progress.
        self.workspace = ''
        self.writable = asyncio.Event()
        self.writable.set()
        self._budget = budget
        #: Since when an upstream waits for the caller, if one does.
        self._waiting_since: float | None = None
        self._on_stalled = on_stalled
        self._loop = asyncio.get_running_loop()
        self._hold: BufferHold | None = None
        self._unread = 0
        self._progress_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_watching(self) -> bool:
        """Return whether the caller still has bytes to read."""
        return self._hold is not None

    def connect(self, transport: asyncio.Transport) -> None:
        """Bound the bytes that are written ahead of the caller."""
        self._transport = transport
        if self._budget is None:
            return
        transport.set_write_buffer_limits(UNCOUNTED_BYTES, 0)
        sock = transport.get_extra_info('socket')
        try:
            sock.setsockopt(SOL_SOCKET, SO_SNDBUF, MAX_SENT_AHEAD_BYTES)
        except OSError as exc:
            # The system's own bound holds.
            logger.debug('event=send_buffer_unbounded error={!r}', str(exc))

    def pause(self) -> None:
        """Start to watch: the caller reads too slowly."""
        self.writable.clear()
        self.watch()

    def watch(self) -> bool:
        """Watch a caller that has bytes to read; return whether it is watched.

        It is, until it has read all or is let go.
        """
        if self._budget is None or self._hold is not None:
            return self._budget is not None
        size = self._transport.get_write_buffer_size()
        self._hold = self._budget.hold(self.workspace, size)
        self._unread = self._count_unread()
        self._progress_at = self._loop.time()
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)
        return True

    def resume(self) -> None:
        """Stop watching: the caller has caught up."""
        self.writable.set()
        self.stop()

    async def drain(self) -> None:
        """Wait until more may be written."""
        if self.writable.is_set() or self._may_read_ahead():
            return
        self._waiting_since = self._loop.time()
        try:
            await self.writable.wait()
        finally:
            self._waiting_since = None

    def stop(self) -> None:
        """Release what is held."""
        if self._hold is not None:
            self._hold.release()
            self._hold = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        if self._hold is None:
            return
        now = self._loop.time()
        unread = self._count_unread()
        if unread < self._unread:
            self._progress_at = now
        self._unread = unread
        self._hold.resize(self._transport.get_write_buffer_size())
        if self._is_stalled(now):
            self._on_stalled(now - self._progress_at, unread)
            return
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _may_read_ahead(self) -> bool:
        size = self._transport.get_write_buffer_size()
        return (
            self._hold is not None
            and size <= MAX_AHEAD_BYTES
            and self._hold.try_grow(size)
        )

    def _is_stalled(self, now: float) -> bool:
        if self._waiting_since is None:
            return now - self._progress_at >= STALLED_AHEAD_AFTER_S
        since = max(self._progress_at, self._waiting_since)
        return now - since >= STALLED_AFTER_S

    def _count_unread(self) -> int:
        """Return the bytes that the caller has not acknowledged.

        The transport's own count changes only in large steps, whenever the
        kernel's buffer has enough room again.
        """
        size = self._transport.get_write_buffer_size()
        sock = self._transport.get_extra_info('socket')
        try:
            queued = ioctl(sock.fileno(), TIOCOUTQ, bytes(_INT.size))
        except OSError:
            # Not supported everywhere.
            return size
        return size + int(_INT.unpack(queued)[0])
