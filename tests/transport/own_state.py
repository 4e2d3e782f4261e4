"""The state of a control daemon that needs no others."""

from __future__ import annotations

import asyncio

from snipebend.kernel.service import Service
from snipebend.state.machine import Machine
from snipebend.transport.replicated_state import ReplicatedState


class OwnState(ReplicatedState):
    """A machine that is changed by the test."""

    def __init__(self):
        Service.__init__(self, 'state')
        self.changed = asyncio.Condition()
        self.group = None
        self.kept = Machine()

    @property
    def machine(self):
        return self.kept

    def wall(self):
        return 0.0
