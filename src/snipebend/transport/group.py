"""This daemon's part in its group: the replica and the tasks around it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.consensus.config import CoreConfig
from snipebend.consensus.events import HandOver, Tick
from snipebend.transport.group_messages import GroupReply
from snipebend.transport.group_questions import GroupQuestions
from snipebend.transport.letters import Tell
from snipebend.transport.peer_links import PeerLinks
from snipebend.transport.repairs import Repairs
from snipebend.transport.replica import Replica

if TYPE_CHECKING:
    from snipebend.consensus.records import Member
    from snipebend.consensus.storage import Storage, StoredState
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import ControlSettings
    from snipebend.transport.rpc_clients import RpcClients

#: Seconds between two checks with a quorum that this state is current.
CONFIRM_EVERY_S = 0.5

#: Ticks of the core in one heartbeat interval.
_TICKS = 4

#: A group of one needs no patience to elect itself.
_ALONE_TIMEOUT_S = 0.05


class Group:
    """A replica with its peers, the way to the leader and the repairs."""

    def __init__(
        self,
        cfg: ControlSettings,
        own: Member,
        opened: StoredState,
        storage: Storage,
        registry: Registry,
        clients: RpcClients,
        notify: Callable[[], None],
    ) -> None:
        """Restore the replica from what the disk held."""
        self._cfg = cfg
        self._clock = registry.clock
        self._tasks = registry.tasks
        self.own = own
        self.replica = Replica(
            core_config(cfg),
            opened,
            storage,
            registry.clock,
            PeerLinks(own, registry.tasks),
            cfg.storage.snapshot_every,
            notify,
            registry.clock.began_at,
        )
        self.questions = GroupQuestions(self.replica, clients, registry.clock)
        self.repairs = Repairs(
            self.replica,
            self.questions,
            _may_join(cfg),
            clients,
        )

    def start(self) -> None:
        """Start the tasks around the replica."""
        self._tasks.start('storage', self.replica.writer.run)
        self._tasks.start('ticks', self._tick_for_ever)
        self._tasks.start('repairs', self.repairs.run)
        self._tasks.start('confirm', self._confirm_for_ever)

    async def hand_over(self) -> None:
        """Let another voter lead, unless that takes too long."""
        if len(self.replica.status.members.voters) < 2:
            return
        deadline = self._clock.now() + 2 * self._cfg.election.election_timeout_s
        while self.replica.leads and self._clock.now() < deadline:
            self.replica.post(Tell(HandOver()))
            await asyncio.sleep(self._cfg.election.heartbeat_s)

    def close(self) -> None:
        """Close the connections to peers."""
        self.replica.links.close()

    @property
    def confirmed_ago(self) -> float | None:
        """Return seconds since a quorum last confirmed this state."""
        if self.questions.confirmed_at is None:
            return None
        return self._clock.now() - self.questions.confirmed_at

    def dump(self) -> dict[str, object]:
        """Return the replica's place in its group."""
        status = self.replica.status
        return {
            'role': status.role.value,
            'term': status.term,
            'member_id': status.member_id,
            'commit_index': status.commit_index,
            'applied_index': self.replica.applier.index,
            'base_index': status.base_index,
            'storage_error': self.replica.storage_error,
            'voters': [member.name for member in status.members.voters],
            'confirmed_ago_s': self.confirmed_ago,
        }

    def describe(self) -> GroupReply:
        """Return this daemon's view of the group."""
        status = self.replica.status
        ago = self.confirmed_ago
        return GroupReply(
            member=self.own,
            role=status.role,
            term=status.term,
            leader=status.leader.name if status.leader else '',
            members=status.members,
            applied=self.replica.applier.index,
            committed=status.commit_index,
            revision=self.replica.applier.revision,
            confirmed_ago_s=-1 if ago is None else ago,
            storage_error=self.replica.storage_error,
        )

    async def _confirm_for_ever(self) -> None:
        while True:
            answer = await self.questions.read()
            if answer.is_err():
                reason = str(answer.unwrap_err())
                logger.warning('event=not_confirmed reason={!r}', reason)
            await asyncio.sleep(CONFIRM_EVERY_S)

    async def _tick_for_ever(self) -> None:
        while True:
            await asyncio.sleep(self._cfg.election.heartbeat_s / _TICKS)
            self.replica.post(Tell(Tick()))


def core_config(cfg: ControlSettings) -> CoreConfig:
    """Return the core's settings."""
    election = cfg.election
    alone = len(cfg.listed_addresses) < 2
    return CoreConfig(
        heartbeat_s=election.heartbeat_s,
        election_timeout_s=(
            _ALONE_TIMEOUT_S if alone else election.election_timeout_s
        ),
        clock_drift=election.clock_drift,
    )


def _may_join(cfg: ControlSettings) -> frozenset[str] | None:
    if cfg.seeds:
        return None
    return frozenset(member.name for member in cfg.members)
