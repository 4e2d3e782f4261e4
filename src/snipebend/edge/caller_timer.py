"""Bounds how long a caller takes for what is due next from it."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.hosts.model import CallerLimits


class Due(Enum):
    """What a caller has to send next."""

    NOTHING = 'nothing'
    REQUEST = 'request'
    HEAD = 'head'
    BODY = 'body'


class CallerTimer:
    """One timer, set anew whenever something else is due."""

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        on_late: Callable[[Due], None],
    ) -> None:
        """Keep whom to tell; nothing is due yet."""
        self._loop = asyncio.get_running_loop()
        self._limits = limits
        self._on_late = on_late
        self._due = Due.NOTHING
        self._running: asyncio.TimerHandle | None = None

    def expect(self, due: Due) -> None:
        """Wait for this from now on; what is due already keeps its time."""
        if due is self._due:
            return
        self.stop()
        self._due = due
        limits = self._limits()
        match due:
            case Due.NOTHING:
                return
            case Due.HEAD:
                span_s = limits.header_timeout_s
            case Due.BODY | Due.REQUEST:
                span_s = limits.idle_timeout_s
        self._running = self._loop.call_later(span_s, self._on_late, due)

    def stop(self) -> None:
        """Wait for nothing."""
        self._due = Due.NOTHING
        if self._running is not None:
            self._running.cancel()
            self._running = None
