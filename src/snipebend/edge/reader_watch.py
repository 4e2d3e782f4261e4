"""Watches whether a caller reads what was written for it.

A caller that reads nothing keeps its upstream busy, because the entry stops
reading the response. Upstreams cut off a response that stays unread for some
seconds; the caller is let go before that, so that the slot is free.
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
#: waits for it.
STALLED_AFTER_S = 2.0

#: The same once the response is complete, which holds up nothing but memory.
STALLED_AT_END_AFTER_S = 15.0

#: Seconds between two checks of a caller that doesn't read.
CHECK_INTERVAL_S = 0.25

#: Bytes that the kernel may hold for one caller. Its own bound is some
#: megabytes, and would take the memory of the VM before a caller seems slow.
MAX_SENT_AHEAD_BYTES = 65_536

_INT = Struct('i')
_LOW_BYTES = UNCOUNTED_BYTES // 4


class ReaderWatch:
    """What one caller still has to read, counted by the budget."""

    def __init__(
        self,
        budget: BufferBudget | None,
        is_at_end: Callable[[], bool],
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
        self._is_at_end = is_at_end
        self._on_stalled = on_stalled
        self._loop = asyncio.get_running_loop()
        self._hold: BufferHold | None = None
        self._unread = 0
        self._progress_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def connect(self, transport: asyncio.Transport) -> None:
        """Bound the bytes that are written ahead of the caller."""
        self._transport = transport
        if self._budget is None:
            return
        transport.set_write_buffer_limits(UNCOUNTED_BYTES, _LOW_BYTES)
        sock = transport.get_extra_info('socket')
        try:
            sock.setsockopt(SOL_SOCKET, SO_SNDBUF, MAX_SENT_AHEAD_BYTES)
        except OSError as exc:
            # The system's own bound holds.
            logger.debug('event=send_buffer_unbounded error={!r}', str(exc))

    def pause(self) -> None:
        """Start to watch: the caller reads too slowly."""
        self.writable.clear()
        if self._budget is None:
            return
        size = self._transport.get_write_buffer_size()
        self._hold = self._budget.hold(self.workspace, size)
        self._unread = self._count_unread()
        self._progress_at = self._loop.time()
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def resume(self) -> None:
        """Stop watching: the caller has caught up."""
        self.writable.set()
        self.stop()

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
        longest_s = (
            STALLED_AT_END_AFTER_S if self._is_at_end() else STALLED_AFTER_S
        )
        stalled_s = now - self._progress_at
        if stalled_s >= longest_s:
            self._on_stalled(stalled_s, unread)
            return
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

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
