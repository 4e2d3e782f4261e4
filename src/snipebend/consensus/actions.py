"""Actions that the Raft core returns, for its caller to execute in order.

``Persist`` and ``InstallSnapshot`` must be written in the order in which they
are returned. A ``Send`` is executed immediately: the core itself holds back
each message that depends on a write until ``Persisted`` confirms that write.
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
    """The Raft role of a member in its current term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre-candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class RejectReason(enum.StrEnum):
    """Why a proposal was not reported as committed.

    ``unknown`` means that the entry was appended and may still be committed.
    With any other reason the entry was not appended and never commits.
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
    """Send a message now; it may be lost, delayed or duplicated."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Persist:
    """Write to disk and sync, then confirm with ``Persisted(sequence)``.

    The log is truncated from ``truncate_from`` on before ``entries`` are
    appended. The caller may sync several writes at once and confirm only the
    last one.
    """

    sequence: int
    hard_state: HardState | None
    truncate_from: int | None
    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Commit:
    """Apply these entries; each index occurs once, in order, without gaps.

    After a restart the first entry is the one that follows the restored
    snapshot.
    """

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class ProposalCommitted:
    """The proposal is committed at ``index``; its ``Commit`` came before."""

    proposal_id: str
    index: int


@dataclass(frozen=True, slots=True)
class ProposalRejected:
    """The proposal is not known to be committed; see ``RejectReason``."""

    proposal_id: str
    leader_hint: Member | None
    reason: RejectReason


@dataclass(frozen=True, slots=True)
class ReadReady:
    """The read can be served once ``index`` has been applied."""

    read_id: str
    index: int


@dataclass(frozen=True, slots=True)
class ReadRejected:
    """This member cannot serve the read."""

    read_id: str
    leader_hint: Member | None


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace state and log with a snapshot, then send ``SnapshotInstalled``.

    The snapshot must be synced before the log file is reset to start after
    ``index``.
    """

    payload: bytes
    index: int
    term: int
    members: Members


@dataclass(frozen=True, slots=True)
class NeedSnapshot:
    """Load the latest snapshot for ``target``; answer ``SnapshotLoaded``."""

    target: str


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The role, term or known leader of the member has changed."""

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
