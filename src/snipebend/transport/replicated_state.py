"""The control daemon's replicated state, as its interfaces use it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from snipebend.kernel.service import Service
from snipebend.settings.model import ControlSettings
from snipebend.state.machine import Machine
from snipebend.transport.group_start import GroupStart

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.state.commands import Command
    from snipebend.transport.group import Group


class ReplicatedState(Service):
    """Enters the group and answers from its replica."""

    def __init__(self, name: str, cfg: ControlSettings) -> None:
        """Keep the settings; nothing is opened yet."""
        super().__init__(name)
        self.changed = asyncio.Condition()
        self.group: Group | None = None
        self._start = GroupStart(cfg)
        self._empty = Machine()

    async def start(self, registry: Registry) -> None:
        """Open the folder; find the group in a task, for it may take time.

        Raises:
            CorruptionError: when the folder is damaged.
            UnavailableError: when another process uses the folder.
        """
        self._registry = registry
        self.own = await asyncio.to_thread(self._start.open)
        registry.tasks.start('replica', self._live)

    async def reload(self, cfg: object) -> None:
        """Take over other seeds."""
        if isinstance(cfg, ControlSettings):
            self._start.take_settings(cfg)

    async def drain(self) -> None:
        """Hand the leadership over before the process stops."""
        if self.group is not None:
            await self.group.hand_over()

    async def stop(self) -> None:
        """Close connections and give the folder back."""
        if self.group is not None:
            self.group.close()
        self._start.close()

    def ready(self) -> bool:
        """Tell whether a quorum confirmed this state within the lease."""
        lease_s = self.machine.state.configuration.routing.config_lease_s
        ago = self.group.confirmed_ago if self.group else None
        return ago is not None and ago <= lease_s

    def dump(self) -> Mapping[str, object]:
        """Return the replica's place in its group and the table sizes."""
        group = self.group.dump() if self.group else {'role': None}
        return {**group, **self.machine.sizes()}

    @property
    def machine(self) -> Machine:
        """Return the machine as this daemon has it, perhaps behind others."""
        if self.group is None:
            return self._empty
        return self.group.replica.applier.machine

    def wall(self) -> float:
        """Return the wall time for a command; the leader puts in its own."""
        return self._registry.clock.wall()

    async def execute(self, command: Command) -> Any:
        """Have a command committed by the group and return its reply.

        Raises:
            GRPCError: when it isn't known to be committed in time.
        """
        answer = await self.found_group().questions.execute(command)
        if answer.is_err():
            raise GRPCError(Status.UNAVAILABLE, str(answer.unwrap_err()))
        return answer.unwrap()

    async def read(self) -> Machine:
        """Return the machine with all that was accepted before the call.

        Raises:
            GRPCError: when no quorum confirms it in time.
        """
        answer = await self.found_group().questions.read()
        if answer.is_err():
            raise GRPCError(Status.UNAVAILABLE, str(answer.unwrap_err()))
        return self.machine

    def found_group(self) -> Group:
        """Return the group.

        Raises:
            GRPCError: while it isn't found yet.
        """
        if self.group is None:
            raise GRPCError(Status.UNAVAILABLE, 'the group is not found yet')
        return self.group

    async def _live(self) -> None:
        """Find the group, then step its core until the end."""
        if self.group is None:
            group = await self._start.enter(self._registry, self.tell_changed)
            group.start()
            self.group = group
            self._registry.tasks.start(
                'rejoin', lambda: self._start.rejoin(group)
            )
        await self.group.replica.run()

    def tell_changed(self) -> None:
        """Wake all that wait for a change of what is told of the state."""
        self._registry.tasks.once('tell-changed', self._wake)

    async def _wake(self) -> None:
        async with self.changed:
            self.changed.notify_all()
