"""The control daemon's replicated state, as used by its gRPC services."""

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
    """Joins the group; reads and changes the state through its replica."""

    def __init__(self, name: str, cfg: ControlSettings) -> None:
        """Store the settings; ``start`` opens the data folder."""
        super().__init__(name)
        self.changed = asyncio.Condition()
        self.group: Group | None = None
        self._start = GroupStart(cfg)
        self._empty_machine = Machine()

    async def start(self, registry: Registry) -> None:
        """Open the data folder; search the group in a task, as it takes time.

        Raises:
            CorruptionError: when the folder is damaged.
            UnavailableError: when another process uses the folder.
        """
        self._registry = registry
        self.local_member = await asyncio.to_thread(self._start.open)
        registry.tasks.start('replica', self._run_replica)

    async def reload(self, cfg: object) -> None:
        """Use the seeds of new settings."""
        if isinstance(cfg, ControlSettings):
            self._start.apply_settings(cfg)

    async def drain(self) -> None:
        """Transfer leadership before the process stops."""
        if self.group is not None:
            await self.group.hand_over()

    async def stop(self) -> None:
        """Close the connections and unlock the data folder."""
        if self.group is not None:
            self.group.close()
        self._start.close()

    def ready(self) -> bool:
        """Return whether a quorum confirmed this state within the lease."""
        lease_s = self.machine.state.configuration.routing.config_lease_s
        ago = self.group.confirmed_ago if self.group else None
        return ago is not None and ago <= lease_s

    def dump(self) -> Mapping[str, object]:
        """Return the replica's status and the sizes of the state's tables."""
        group = self.group.dump() if self.group else {'role': None}
        return {**group, **self.machine.sizes()}

    @property
    def machine(self) -> Machine:
        """Return this daemon's state machine, which may lag the leader's."""
        if self.group is None:
            return self._empty_machine
        return self.group.replica.applier.machine

    def wall(self) -> float:
        """Return the wall time for a command; the leader overwrites it."""
        return self._registry.clock.wall()

    async def execute(self, command: Command) -> Any:
        """Commit a command in the group and return its reply.

        Raises:
            GRPCError: when the commit isn't confirmed before the timeout.
        """
        answer = await self.require_group().leader_client.execute(command)
        if answer.is_err():
            raise GRPCError(Status.UNAVAILABLE, str(answer.unwrap_err()))
        return answer.unwrap()

    async def read(self) -> Machine:
        """Return the machine with all commands committed before the call.

        Raises:
            GRPCError: when no quorum confirms it before the timeout.
        """
        answer = await self.require_group().leader_client.read()
        if answer.is_err():
            raise GRPCError(Status.UNAVAILABLE, str(answer.unwrap_err()))
        return self.machine

    def require_group(self) -> Group:
        """Return the group.

        Raises:
            GRPCError: while the group is still being searched.
        """
        if self.group is None:
            raise GRPCError(Status.UNAVAILABLE, 'the group is not found yet')
        return self.group

    async def _run_replica(self) -> None:
        """Find the group, then run its replica until cancelled."""
        if self.group is None:
            group = await self._start.enter(self._registry, self.notify_changed)
            group.start()
            self.group = group
            self._registry.tasks.start(
                'rejoin', lambda: self._start.rejoin(group)
            )
        await self.group.replica.run()

    def notify_changed(self) -> None:
        """Notify all tasks that wait for a change of the watched state."""
        self._registry.tasks.once('tell-changed', self._notify_waiters)

    async def _notify_waiters(self) -> None:
        async with self.changed:
            self.changed.notify_all()
