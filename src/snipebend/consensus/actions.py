"""What the core of log replication asks the shell to do, in list order.

``Persist`` and ``InstallSnapshot`` are written in the order in which they are
emitted. A ``Send`` needs no waiting: the core holds back any message that
promises something not yet confirmed by a ``Persisted`` event.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from snipebend.consensus.messages import Envelope
    from snipebend.consensus.records import (
        HardState,
        LogEntry,
        Member,
        Members,
    )


class Role(enum.StrEnum):
    """A member's part in its term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class RejectReason(enum.StrEnum):
    """Why a proposal isn't answered as committed.

    ``unknown`` alone means that it was appended and may still commit; after
    each other reason it never does.
    """

    NOT_LEADER = 'not-leader'
    UNKNOWN = 'unknown'
    BUSY = 'busy'
    HANDING_OVER = 'handing-over'
    CHANGE_IN_PROGRESS = 'change-in-progress'
    NOT_CAUGHT_UP = 'not-caught-up'
    INVALID_CHANGE = 'invalid-change'


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message now; it may be lost, delayed or doubled."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Persist:
    """Write and sync, then confirm with ``Persisted(sequence)``.

    First the log drops the entries from ``truncate_from`` on, then it takes
    ``entries``. The shell may sync several at once and confirm the last.
    """

    sequence: int
    hard_state: HardState | None
    truncate_from: int | None
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Commit:
    """Apply these entries; each index comes once, in order, without gaps.

    After a start the first one follows the restored snapshot.
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class ProposalCommitted:
    """The proposal stands at ``index``; its ``Commit`` came before."""

    proposal_id: str
    index: int


@dataclass(frozen=True, slots=True)
class ProposalRejected:
    """The proposal isn't known to be committed; see ``RejectReason``."""

    proposal_id: str
    leader_hint: Member | None
    reason: RejectReason


@dataclass(frozen=True, slots=True)
class ReadReady:
    """The read may run as soon as ``index`` is applied."""

    read_id: str
    index: int


@dataclass(frozen=True, slots=True)
class ReadRejected:
    """This member can't serve the read."""

    read_id: str
    leader_hint: Member | None


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace state and log by the snapshot; sync, then ``SnapshotInstalled``.

    The snapshot must be synced before the log file is reset to start after
    ``index``.
    """

    payload: bytes
    index: int
    term: int
    members: Members


@dataclass(frozen=True, slots=True)
class NeedSnapshot:
    """Answer with ``SnapshotLoaded`` for the target's sake."""

    target: str


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The member's role, term or known leader changed."""

    role: Role
    term: int
    leader: Member | None


Action = (
    Send
    | Persist
    | Commit
    | ProposalCommitted
    | ProposalRejected
    | ReadReady
    | ReadRejected
    | InstallSnapshot
    | NeedSnapshot
    | RoleChanged
)
