"""The control daemon's replicated state, as its interfaces use it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, Any
from uuid import uuid4

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from snipebend.consensus.config import CoreConfig
from snipebend.consensus.events import HandOver, MembersChange, Tick
from snipebend.consensus.folder_lock import FolderLock
from snipebend.consensus.records import Member, Members
from snipebend.consensus.storage import Storage
from snipebend.kernel.service import Service
from snipebend.state.machine import Machine
from snipebend.transport.founding import Founding
from snipebend.transport.group_messages import GroupReply
from snipebend.transport.group_questions import GroupQuestions
from snipebend.transport.letters import Answer, Tell
from snipebend.transport.peer_links import PeerLinks
from snipebend.transport.repairs import Repairs
from snipebend.transport.replica import Replica
from snipebend.transport.rpc import RpcClients

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.consensus.storage import Opened
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import ControlSettings
    from snipebend.state.commands import Command

#: Seconds between two checks with a quorum that this state is current.
CONFIRM_EVERY_S = 0.5

#: Ticks of the core in one heartbeat interval.
_TICKS = 4

#: A group of one needs no patience to elect itself.
_ALONE_TIMEOUT_S = 0.05


class ReplicatedState(Service):
    """Owns the tasks that keep one replica, and answers from it."""

    def __init__(self, name: str, cfg: ControlSettings) -> None:
        """Keep the settings; nothing is opened yet."""
        super().__init__(name)
        self._cfg = cfg
        self._folder = Path(cfg.storage.folder)
        self._lock = FolderLock(self._folder)
        self._storage = Storage(self._folder)
        self._clients = RpcClients()
        self._replica: Replica | None = None
        self._questions: GroupQuestions | None = None
        self._empty = Machine()
        self._confirmed_at: float | None = None
        self.changed = asyncio.Condition()

    async def start(self, registry: Registry) -> None:
        """Open the folder; find the group in a task, for it may take time.

        Raises:
            CorruptionError: when the folder is damaged.
            UnavailableError: when another process uses the folder.
        """
        self._clock = registry.clock
        self._tasks = registry.tasks
        self._lock.acquire()
        opened = await asyncio.to_thread(self._storage.open, uuid4().hex)
        self.own = self._own_member(opened.member_id)
        self._tasks.start('replica', lambda: self._live(opened))
        self._tasks.start('confirm', self._confirm_for_ever)

    async def drain(self) -> None:
        """Hand the leadership over before the process stops."""
        if self._replica is None or len(self.members.voters) < 2:
            return
        deadline = self._clock.now() + 2 * self._cfg.election.election_timeout_s
        while self.leads and self._clock.now() < deadline:
            self._replica.post(Tell(HandOver()))
            await asyncio.sleep(self._cfg.election.heartbeat_s)

    async def stop(self) -> None:
        """Close connections and give the folder back."""
        self._clients.close()
        if self._replica is not None:
            self._replica.links.close()
        self._lock.release()

    def ready(self) -> bool:
        """Tell whether a quorum confirmed this state within the lease."""
        lease_s = self.machine.state.configuration.routing.config_lease_s
        return self.confirmed_ago is not None and self.confirmed_ago <= lease_s

    def dump(self) -> Mapping[str, object]:
        """Return the replica's place in its group and the table sizes."""
        state = self.machine.state
        sizes = {
            'revision': state.configuration.revision,
            'answers': len(state.configuration.answers),
            'fences': len(state.fences.fences),
            'deaths': len(state.crashes.deaths),
        }
        if self._replica is None:
            return {'role': 'joining', **sizes}
        status = self._replica.status
        return {
            'role': status.role.value,
            'term': status.term,
            'member_id': status.member_id,
            'commit_index': status.commit_index,
            'applied_index': self._replica.applier.index,
            'base_index': status.base_index,
            'storage_error': self._replica.storage_error,
            **sizes,
        }

    @property
    def machine(self) -> Machine:
        """Return the machine as this daemon has it, perhaps behind others."""
        return self._replica.applier.machine if self._replica else self._empty

    @property
    def leads(self) -> bool:
        """Tell whether this daemon leads, as far as it knows."""
        return self._replica is not None and self._replica.leads

    @property
    def members(self) -> Members:
        """Return the members of the group as this daemon knows them."""
        return self._replica.status.members if self._replica else Members()

    @property
    def confirmed_ago(self) -> float | None:
        """Return seconds since a quorum last confirmed this state."""
        if self._confirmed_at is None:
            return None
        return self._clock.now() - self._confirmed_at

    @property
    def replica(self) -> Replica | None:
        """Return the replica once the group is found."""
        return self._replica

    @property
    def questions(self) -> GroupQuestions:
        """Return the way to the leader.

        Raises:
            GRPCError: while the group isn't found yet.
        """
        if self._questions is None:
            raise GRPCError(Status.UNAVAILABLE, 'the group is not found yet')
        return self._questions

    def wall(self) -> float:
        """Return the wall time for a command; the leader puts in its own."""
        return self._clock.wall()

    async def execute(self, command: Command) -> Any:
        """Have a command committed by the group and return its reply.

        Raises:
            GRPCError: when it isn't known to be committed in time.
        """
        answer = await self.questions.execute(command)
        if answer.is_err():
            raise GRPCError(Status.UNAVAILABLE, str(answer.unwrap_err()))
        return answer.unwrap()

    async def read(self) -> Machine:
        """Return the machine with all that was accepted before the call.

        Raises:
            GRPCError: when no quorum confirms it in time.
        """
        began = self._clock.now()
        answer = await self.questions.read()
        if answer.is_err():
            raise GRPCError(Status.UNAVAILABLE, str(answer.unwrap_err()))
        self._confirmed_at = max(began, self._confirmed_at or began)
        return self.machine

    async def change_members(self, change: MembersChange) -> Answer:
        """Propose one change of the members, if this daemon leads."""
        return await self.questions.change_members(change)

    def describe(self) -> GroupReply:
        """Return this daemon's view of the group."""
        ago = self.confirmed_ago
        revision = self.machine.state.configuration.revision
        if self._replica is None:
            return GroupReply(self.own, revision=revision)
        status = self._replica.status
        return GroupReply(
            member=self.own,
            role=status.role,
            term=status.term,
            leader=status.leader.name if status.leader else '',
            members=status.members,
            applied=self._replica.applier.index,
            committed=status.commit_index,
            revision=revision,
            confirmed_ago_s=-1 if ago is None else ago,
            storage_error=self._replica.storage_error,
        )

    def _own_member(self, member_id: str) -> Member:
        name = self._cfg.process.name
        listed = {one.name: one.address for one in self._cfg.members}
        listen = self._cfg.listen
        default = f'{listen.host}:{listen.grpc_port}'
        return Member(member_id, name, listed.get(name, default))

    async def _live(self, opened: Opened) -> None:
        """Find the group, then step its core until the end."""
        if self._replica is None:
            restored = opened.restored
            if not (restored.members.voters or restored.entries):
                founding = await self._find_members()
                restored = restored._replace(members=founding)
            self._enter(opened._replace(restored=restored))
        if self._replica is not None:
            await self._replica.run()

    async def _find_members(self) -> Members:
        if not self._cfg.members:
            members = Members((self.own,))
            await asyncio.to_thread(self._storage.found, members)
            return members
        founding = Founding(
            self.own,
            [member.address for member in self._cfg.members],
            self._clients,
            self._storage.found,
        )
        return await founding.find()

    def _enter(self, opened: Opened) -> None:
        replica = Replica(
            self._core_config(),
            opened,
            self._storage,
            self._clock,
            PeerLinks(self.own, self._tasks),
            self._cfg.storage.snapshot_every,
            self._tell_changed,
        )
        self._questions = GroupQuestions(replica, self._clients, self._clock)
        self._replica = replica
        names = frozenset(member.name for member in self._cfg.members)
        self.repairs = Repairs(self, names, self._clients)
        self._tasks.start('storage', replica.writer.run)
        self._tasks.start('ticks', lambda: self._tick_for_ever(replica))
        self._tasks.start('repairs', self.repairs.run)

    def _core_config(self) -> CoreConfig:
        election = self._cfg.election
        alone = len(self._cfg.members) < 2
        timeout_s = election.election_timeout_s
        return CoreConfig(
            heartbeat_s=election.heartbeat_s,
            election_timeout_s=_ALONE_TIMEOUT_S if alone else timeout_s,
            clock_drift=election.clock_drift,
        )

    async def _tick_for_ever(self, replica: Replica) -> None:
        while True:
            await asyncio.sleep(self._cfg.election.heartbeat_s / _TICKS)
            replica.post(Tell(Tick()))

    async def _confirm_for_ever(self) -> None:
        while True:
            if self._questions is not None:
                await self._confirm()
            await asyncio.sleep(CONFIRM_EVERY_S)

    async def _confirm(self) -> None:
        try:
            await self.read()
        except GRPCError as exc:
            logger.warning('event=not_confirmed reason={!r}', exc.message)

    def _tell_changed(self) -> None:
        self._tasks.once('tell-changed', self._wake)

    async def _wake(self) -> None:
        async with self.changed:
            self.changed.notify_all()
