"""A replicated state without peers, for tests of a single control daemon."""

from __future__ import annotations

import asyncio

from snipebend.kernel.service import Service
from snipebend.state.machine import Machine
from snipebend.transport.replicated_state import ReplicatedState


class StandaloneState(ReplicatedState):
    """Serves a local state machine, which the test changes directly."""

    def __init__(self):
        Service.__init__(self, 'state')
        self.changed = asyncio.Condition()
        self.group = None
        self.local_machine = Machine()

    @property
    def machine(self):
        return self.local_machine

    def wall(self):
        return 0.0
