"""An event loop on virtual time, which advances only while no task can run.

Each wait ends at once, at its exact due time, so that the timing of a service
is the same on every run and machine.
"""

from __future__ import annotations

import asyncio
import selectors


class VirtualDeadlockError(AssertionError):
    """All tasks are waiting and no timer is pending."""


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise VirtualDeadlockError(
                'all tasks wait, but no timer is pending'
            )
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks on virtual time; they must not use sockets or threads."""

    def __init__(self):
        self._selector = _VirtualTimeSelector()
        super().__init__(self._selector)

    def time(self):
        return self._selector.now_s


class LoopClock:
    """A service clock that returns the time of the running event loop."""

    began_at = 0.0

    def now(self):
        return asyncio.get_running_loop().time()

    def wall(self):
        return 1000 + self.now()


def run_in_virtual_time(main):
    """Run a coroutine on virtual time until it completes; return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
