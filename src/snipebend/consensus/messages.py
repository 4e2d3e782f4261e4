"""Messages between the members of a group.

All are tagged ``msgspec`` structs that are encoded by field name, so that a
later version can add fields with defaults. Terms, indexes and rounds are
integers that start at one; zero means "none yet". Members are identified by
``member_id`` only: an address can be reused by a VM that has lost its disk, an
identity cannot.
"""

from __future__ import annotations

import msgspec

from snipebend.consensus.records import LogEntry, SnapshotMeta


class PreVoteRequest(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Asks whether the target would grant a vote in ``term``; not binding.

    ``restarted`` is set while the sender has had no contact with a leader since
    its start, and still has to ignore candidates because an earlier leader may
    hold a lease.
    """

    term: int
    last_index: int
    last_term: int
    restarted: bool = False


class PreVoteReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The reply to a pre-vote request.

    ``term`` is the requested term if granted, otherwise the voter's own term.
    ``restarted`` is set only if it was set in the request, and the voter, too,
    has had no contact with a leader since its start.
    """

    term: int
    granted: bool
    restarted: bool = False


class VoteRequest(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Requests a vote in ``term``.

    ``hand_over`` is set if the leader itself requested the election: it has
    given up its lease, so that voters need not wait for it to expire. The same
    holds for ``restarted``: every voter has reported that it restarted, so that
    there is no leader.
    """

    term: int
    last_index: int
    last_term: int
    hand_over: bool = False
    restarted: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The reply to a vote request, with the voter's term."""

    term: int
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Entries that follow ``prev_index``; without entries a heartbeat.

    The follower returns ``round_number`` in its reply. The follower ignores
    other candidates for an election timeout that begins no earlier than that
    round, which is what the leader's lease relies on.
    """

    term: int
    prev_index: int
    prev_term: int
    commit_index: int
    round_number: int
    entries: tuple[LogEntry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Up to which index the follower's synced log matches the leader's.

    On success ``match_index`` is the last matching index. Otherwise
    ``rejected_index`` repeats the request's ``prev_index``, and the hint is the
    last entry of the follower that can still match.
    """

    term: int
    success: bool
    round_number: int
    match_index: int = 0
    rejected_index: int = 0
    hint_index: int = 0
    hint_term: int = 0


class SnapshotRequest(
    msgspec.Struct, frozen=True, tag=True, omit_defaults=True
):
    """A complete snapshot for a follower that needs already dropped entries."""

    term: int
    snapshot: SnapshotMeta
    payload: bytes
    round_number: int


class SnapshotReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The follower has synced all state up to ``match_index``."""

    term: int
    match_index: int
    round_number: int


class TimeoutNow(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The leader of ``term`` asks the target to start an election at once."""

    term: int


PeerMessage = (
    PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | TimeoutNow
)


class Envelope(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A message with the member ids of its sender and its receiver.

    The transport can set ``source_address``, so that a new learner can reply
    to a leader that it does not know yet.
    """

    source: str
    target: str
    message: PeerMessage
    source_address: str = ''
