"""A control daemon's membership in its group: the replica and its tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.consensus.config import CoreConfig
from snipebend.consensus.events import HandOver, Tick
from snipebend.transport.group_messages import GroupReply
from snipebend.transport.leader_client import LeaderClient
from snipebend.transport.membership_manager import MembershipManager
from snipebend.transport.peer_links import PeerLinks
from snipebend.transport.replica import Replica
from snipebend.transport.replica_messages import CoreEvent

if TYPE_CHECKING:
    from snipebend.consensus.records import Member
    from snipebend.consensus.storage import Storage, StoredState
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import ControlSettings
    from snipebend.transport.rpc_clients import RpcClients

#: Seconds between two confirmations by a quorum that this state is current.
CONFIRM_INTERVAL_S = 0.5

#: Ticks of the Raft core in one heartbeat interval.
_TICKS_PER_HEARTBEAT = 4

#: Election timeout of a group with one member, which waits for no other.
_SINGLE_MEMBER_TIMEOUT_S = 0.05


class Group:
    """A replica with its peer links, leader client and membership manager."""

    def __init__(
        self,
        cfg: ControlSettings,
        local_member: Member,
        opened: StoredState,
        storage: Storage,
        registry: Registry,
        clients: RpcClients,
        notify: Callable[[], None],
    ) -> None:
        """Restore the replica from the data folder."""
        self._cfg = cfg
        self._clock = registry.clock
        self._tasks = registry.tasks
        self.local_member = local_member
        self.replica = Replica(
            build_core_config(cfg),
            opened,
            storage,
            registry.clock,
            PeerLinks(local_member, registry.tasks),
            cfg.storage.snapshot_every,
            notify,
            registry.clock.began_at,
        )
        self.leader_client = LeaderClient(self.replica, clients, registry.clock)
        self.membership = MembershipManager(
            self.replica,
            self.leader_client,
            _allowed_names(cfg),
            clients,
        )

    def start(self) -> None:
        """Start the tasks that serve the replica."""
        self._tasks.start('storage', self.replica.writer.run)
        self._tasks.start('ticks', self._run_ticks)
        self._tasks.start('repairs', self.membership.run)
        self._tasks.start('confirm', self._run_confirmations)

    async def hand_over(self) -> None:
        """Transfer leadership to another voter.

        Gives up after two election timeouts.
        """
        if len(self.replica.status.members.voters) < 2:
            return
        deadline = self._clock.now() + 2 * self._cfg.election.election_timeout_s
        while self.replica.leads and self._clock.now() < deadline:
            self.replica.post(CoreEvent(HandOver()))
            await asyncio.sleep(self._cfg.election.heartbeat_s)

    def close(self) -> None:
        """Close the connections to peers."""
        self.replica.links.close()

    @property
    def confirmed_ago(self) -> float | None:
        """Return the seconds since a quorum confirmed this state, or None."""
        if self.leader_client.confirmed_at is None:
            return None
        return self._clock.now() - self.leader_client.confirmed_at

    def dump(self) -> dict[str, object]:
        """Return the replica's role and progress in its group."""
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
            member=self.local_member,
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

    async def _run_confirmations(self) -> None:
        while True:
            answer = await self.leader_client.read()
            if answer.is_err():
                reason = str(answer.unwrap_err())
                logger.warning('event=not_confirmed reason={!r}', reason)
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(
                self._cfg.election.heartbeat_s / _TICKS_PER_HEARTBEAT
            )
            self.replica.post(CoreEvent(Tick()))


def build_core_config(cfg: ControlSettings) -> CoreConfig:
    """Build the configuration of the Raft core."""
    election = cfg.election
    alone = len(cfg.listed_addresses) < 2
    return CoreConfig(
        heartbeat_s=election.heartbeat_s,
        election_timeout_s=(
            _SINGLE_MEMBER_TIMEOUT_S if alone else election.election_timeout_s
        ),
        clock_drift=election.clock_drift,
    )


def _allowed_names(cfg: ControlSettings) -> frozenset[str] | None:
    if cfg.seeds:
        return None
    return frozenset(member.name for member in cfg.members)
