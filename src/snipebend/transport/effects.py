"""Carries out what the core asks for."""

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
    from snipebend.transport.questions import Questions


class Effects:
    """Sends, writes, executes and answers, in the order of the actions."""

    def __init__(
        self,
        core: Core,
        links: PeerLinks,
        writer: StorageWriter,
        applier: Applier,
        questions: Questions,
        meters: ReplicaMeters,
    ) -> None:
        """Keep what the actions work on."""
        self._core = core
        self._links = links
        self._writer = writer
        self._applier = applier
        self._questions = questions
        self._replies: dict[int, Reply | None] = {}
        self._meters = meters
        self._learn_members()

    def carry_out(self, actions: Iterable[Action]) -> None:
        """Do the actions of one step; then answer reads and take a snapshot.

        Raises:
            CorruptionError: when a committed entry can't be executed.
        """
        for action in actions:
            self._do_one(action)
        self._replies.clear()
        self._questions.executed(self._applier.index)
        if self._applier.snapshot_due():
            self._save_snapshot()

    def _do_one(self, action: Action) -> None:
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
                self._questions.answer(proposal_id, reply)
            case ProposalRejected() | ReadRejected():
                self._questions.reject(action)
            case ReadReady(read_id, index):
                self._questions.read_ready(read_id, index)
            case InstallSnapshot() | NeedSnapshot() | RoleChanged():
                self._do_rare(action)

    def _do_rare(
        self, action: InstallSnapshot | NeedSnapshot | RoleChanged
    ) -> None:
        match action:
            case InstallSnapshot(payload, index, term, members):
                meta = SnapshotMeta(index, term, members)
                self._writer.put(ReplaceSnapshot(Snapshot(meta, payload)))
            case NeedSnapshot(target):
                self._writer.put(LoadSnapshot(target))
            case RoleChanged(role, term, leader):
                self._learn_members()
                self._meters.role_taken(role.value)
                logger.info(
                    'event=role role={} term={} leader={}',
                    role.value,
                    term,
                    leader.name if leader else '-',
                )

    def _send(self, envelope: Envelope) -> None:
        if not self._links.send(envelope):
            # A member that was added since the last look.
            self._learn_members()
            self._links.send(envelope)

    def _save_snapshot(self) -> None:
        index = self._applier.index
        meta = SnapshotMeta(
            index,
            self._core.term_at(index) or 0,
            self._core.members_at(index),
        )
        snapshot = Snapshot(meta, self._applier.machine.encode())
        self._writer.put(SaveSnapshot(snapshot, self._applier.keep_index()))
        logger.info('event=snapshot index={}', index)

    def _learn_members(self) -> None:
        members = self._core.status().members
        self._links.learn(members.voters + members.learners)
