"""Where the control daemon's interfaces find the replicated state."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from snipebend.kernel.service import Service
from snipebend.state.machine import Machine

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.state.commands import Command


class StateStore(Service):
    """A state machine that nobody else replicates: a group of one."""

    def __init__(self, name: str) -> None:
        """Start empty."""
        super().__init__(name)
        self.machine = Machine()
        self.changed = asyncio.Condition()

    async def start(self, registry: Registry) -> None:
        """Keep the clock."""
        self._clock = registry.clock

    @property
    def leads(self) -> bool:
        """Tell that a group of one leads itself."""
        return True

    def wall(self) -> float:
        """Return the wall time that a command is to carry."""
        return self._clock.wall()

    async def execute(self, command: Command) -> Any:
        """Carry out a command and tell those who wait for changes."""
        reply = self.machine.execute(command)
        async with self.changed:
            self.changed.notify_all()
        return reply

    async def read(self) -> Machine:
        """Return the machine with every accepted command executed."""
        return self.machine

    def dump(self) -> Mapping[str, object]:
        """Return the sizes of the state's tables."""
        state = self.machine.state
        return {
            'revision': state.configuration.revision,
            'answers': len(state.configuration.answers),
            'fences': len(state.fences.fences),
            'deaths': len(state.crashes.deaths),
        }
