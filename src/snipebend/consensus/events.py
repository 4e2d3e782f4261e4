"""Events that the caller passes to the Raft core.

Events carry no time: the caller passes it to ``Core.step``, in seconds on a
monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from snipebend.consensus.messages import Envelope
    from snipebend.consensus.records import Member, Members


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; must be sent several times per heartbeat interval."""


@dataclass(frozen=True, slots=True)
class Received:
    """A message from a peer has arrived."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Proposed:
    """A command to append; its outcome is reported under ``proposal_id``."""

    proposal_id: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class ReadRequested:
    """A linearizable read requests the index that must be applied first."""

    read_id: str


@dataclass(frozen=True, slots=True)
class AddLearner:
    """Add a member that receives the log but does not vote."""

    member: Member


@dataclass(frozen=True, slots=True)
class PromoteLearner:
    """Make a learner that has caught up a voter."""

    member_id: str


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Remove a voter or learner from the group permanently."""

    member_id: str


MembersChange = AddLearner | PromoteLearner | RemoveMember


@dataclass(frozen=True, slots=True)
class MembersProposed:
    """A change of the members; its outcome is reported like a proposal's."""

    proposal_id: str
    change: MembersChange


@dataclass(frozen=True, slots=True)
class Persisted:
    """Each ``Persist`` action up to ``sequence`` is synced to disk."""

    sequence: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A synced snapshot covers ``index``: the log can be compacted up to it.

    ``index`` may be lower than the snapshot's own index, to keep entries for
    followers that lag a little. ``term`` and ``members`` are those at
    ``index``.
    """

    index: int
    term: int
    members: Members


@dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """An ``InstallSnapshot`` action is synced, and the log file is reset."""

    index: int


@dataclass(frozen=True, slots=True)
class SnapshotLoaded:
    """The latest synced snapshot, for the follower ``target``."""

    target: str
    index: int
    term: int
    members: Members
    payload: bytes


@dataclass(frozen=True, slots=True)
class HandOver:
    """Transfer leadership to another voter, before a planned stop."""


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
