"""Limits how long a caller may take to send its next input."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.hosts.model import CallerLimits


class AwaitedInput(Enum):
    """What a caller has to send next."""

    NOTHING = 'nothing'
    REQUEST = 'request'
    HEAD = 'head'
    BODY = 'body'


class CallerTimer:
    """One timer, restarted whenever other input is awaited."""

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        on_timeout: Callable[[AwaitedInput], None],
    ) -> None:
        """Keep the callback for a timeout; no input is awaited yet."""
        self._loop = asyncio.get_running_loop()
        self._limits = limits
        self._on_timeout = on_timeout
        self._awaited = AwaitedInput.NOTHING
        self._timer_handle: asyncio.TimerHandle | None = None

    def expect(self, awaited: AwaitedInput) -> None:
        """Await this input; input that is already awaited keeps its timeout."""
        if awaited is self._awaited:
            return
        self.stop()
        self._awaited = awaited
        limits = self._limits()
        match awaited:
            case AwaitedInput.NOTHING:
                return
            case AwaitedInput.HEAD:
                timeout_s = limits.header_timeout_s
            case AwaitedInput.BODY | AwaitedInput.REQUEST:
                timeout_s = limits.input_timeout_s
        self._timer_handle = self._loop.call_later(
            timeout_s, self._on_timeout, awaited
        )

    def stop(self) -> None:
        """Await nothing."""
        self._awaited = AwaitedInput.NOTHING
        if self._timer_handle is not None:
            self._timer_handle.cancel()
            self._timer_handle = None
