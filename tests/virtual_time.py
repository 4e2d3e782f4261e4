"""An event loop whose time moves only when nothing is left to do.

Each wait ends at once, at the moment at which it should, so that seconds of a
service's work are the same on every run and machine.
"""

from __future__ import annotations

import asyncio
import selectors


class StuckError(AssertionError):
    """All tasks wait, and for nothing that time would bring."""


class _JumpingSelector(selectors.DefaultSelector):
    """Moves time on in place of waiting."""

    def __init__(self):
        super().__init__()
        self.at = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise StuckError('nothing is due')
        self.at += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks on virtual time; for tasks without sockets or threads."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.at


class LoopClock:
    """The clock of services that run on a loop."""

    began_at = 0.0

    def now(self):
        return asyncio.get_running_loop().time()

    def wall(self):
        return 1000 + self.now()


def run_virtually(main):
    """Run a coroutine to its end; return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
