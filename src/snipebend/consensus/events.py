"""What the shell tells the core of log replication.

Events carry no time: the shell passes it to ``Core.step``, in seconds of a
clock that never goes back.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from snipebend.consensus.messages import Envelope
    from snipebend.consensus.records import Member, Members


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due several times within a heartbeat interval."""


@dataclass(frozen=True, slots=True)
class Received:
    """A peer's message arrived."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Proposed:
    """A command to be appended; ``proposal_id`` names the answer to it."""

    proposal_id: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class ReadRequested:
    """A linearizable read wants the index that it must see applied."""

    read_id: str


@dataclass(frozen=True, slots=True)
class AddLearner:
    """Let a new member receive the log without a vote."""

    member: Member


@dataclass(frozen=True, slots=True)
class PromoteLearner:
    """Give a learner that has caught up its vote."""

    member_id: str


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Take a voter or learner out of the group for good."""

    member_id: str


MembersChange = AddLearner | PromoteLearner | RemoveMember


@dataclass(frozen=True, slots=True)
class MembersProposed:
    """One change of the members; answered like a proposal."""

    proposal_id: str
    change: MembersChange


@dataclass(frozen=True, slots=True)
class Persisted:
    """Each ``Persist`` action up to ``sequence`` is synced to disk."""

    sequence: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A synced snapshot covers ``index``: the log up to there may go.

    The index may lie before the snapshot's own, to keep entries for followers
    that lag a little; ``term`` and ``members`` are those at ``index``.
    """

    index: int
    term: int
    members: Members


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """An ``InstallSnapshot`` action is synced and the log file is reset."""

    index: int


@dataclass(frozen=True, slots=True)
class SnapshotLoaded:
    """The latest synced snapshot, for the follower that needs it."""

    target: str
    index: int
    term: int
    members: Members
    payload: bytes


@dataclass(frozen=True, slots=True)
class HandOver:
    """A planned stop: let another voter lead, if this member leads."""


Event = (
    Tick
    | Received
    | Proposed
    | ReadRequested
    | MembersProposed
    | Persisted
    | SnapshotTaken
    | SnapshotInstalled
    | SnapshotLoaded
    | HandOver
)
