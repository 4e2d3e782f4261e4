"""Executes the actions that the Raft core returns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from snipebend.consensus.actions import (
    Action,
    Commit,
    InstallSnapshot,
    NeedSnapshot,
    Persist,
    ProposalCommitted,
    ProposalRejected,
    ReadReady,
    ReadRejected,
    RoleChanged,
    Send,
)
from snipebend.consensus.records import SnapshotMeta
from snipebend.consensus.snapshot_file import Snapshot
from snipebend.transport.storage_writer import (
    LoadSnapshot,
    ReplaceSnapshot,
    SaveSnapshot,
    StorageWriter,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.consensus.core import Core
    from snipebend.consensus.messages import Envelope
    from snipebend.state.commands import Reply
    from snipebend.transport.applier import Applier
    from snipebend.transport.control_meters import ReplicaMeters
    from snipebend.transport.peer_links import PeerLinks
    from snipebend.transport.pending_requests import PendingRequests


class ActionExecutor:
    """Executes actions in order on the network, disk and state machine."""

    def __init__(
        self,
        core: Core,
        links: PeerLinks,
        writer: StorageWriter,
        applier: Applier,
        pending: PendingRequests,
        meters: ReplicaMeters,
    ) -> None:
        """Store the components that the actions use."""
        self._core = core
        self._links = links
        self._writer = writer
        self._applier = applier
        self._pending = pending
        self._replies: dict[int, Reply | None] = {}
        self._meters = meters
        self._update_members()

    def execute(self, actions: Iterable[Action]) -> None:
        """Execute the actions of one step of the core.

        Then complete the pending reads and save a snapshot if one is due.

        Raises:
            CorruptionError: when a committed entry can't be applied.
        """
        for action in actions:
            self._execute_one(action)
        self._replies.clear()
        self._pending.complete_reads(self._applier.index)
        if self._applier.check_snapshot_due():
            self._save_snapshot()

    def _execute_one(self, action: Action) -> None:
        match action:
            case Send(envelope):
                self._send(envelope)
            case Persist():
                self._writer.put(action)
            case Commit(entries):
                for entry in entries:
                    self._replies[entry.index] = self._applier.apply(entry)
            case ProposalCommitted(proposal_id, index):
                reply = self._replies.get(index)
                self._pending.complete(proposal_id, reply)
            case ProposalRejected() | ReadRejected():
                self._pending.reject(action)
            case ReadReady(read_id, index):
                self._pending.wait_for_index(read_id, index)
            case InstallSnapshot() | NeedSnapshot() | RoleChanged():
                self._execute_rare(action)

    def _execute_rare(
        self, action: InstallSnapshot | NeedSnapshot | RoleChanged
    ) -> None:
        match action:
            case InstallSnapshot(payload, index, term, members):
                meta = SnapshotMeta(index, term, members)
                self._writer.put(ReplaceSnapshot(Snapshot(meta, payload)))
            case NeedSnapshot(target):
                self._writer.put(LoadSnapshot(target))
            case RoleChanged(role, term, leader):
                self._update_members()
                self._meters.count_role_change(role.value)
                logger.info(
                    'event=role role={} term={} leader={}',
                    role.value,
                    term,
                    leader.name if leader else '-',
                )

    def _send(self, envelope: Envelope) -> None:
        if not self._links.send(envelope):
            # The target may have been added since the last update.
            self._update_members()
            self._links.send(envelope)

    def _save_snapshot(self) -> None:
        index = self._applier.index
        meta = SnapshotMeta(
            index,
            self._core.term_at(index) or 0,
            self._core.members_at(index),
        )
        snapshot = Snapshot(meta, self._applier.machine.encode())
        self._writer.put(
            SaveSnapshot(snapshot, self._applier.truncation_index())
        )
        logger.info('event=snapshot index={}', index)

    def _update_members(self) -> None:
        members = self._core.status().members
        self._links.update_members(members.voters + members.learners)
