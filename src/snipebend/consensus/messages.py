"""Messages between the members of a group.

All are tagged ``msgspec`` structs, so that a message is encoded and decoded by
field name and a later version may add fields with defaults. Terms, indexes and
rounds are whole numbers that start at one; zero means "none yet". Members
are named by ``member_id`` everywhere: an address may be taken over by a
machine whose disk is gone, an identity may not.
"""

from __future__ import annotations

import msgspec

from snipebend.consensus.records import LogEntry, SnapshotMeta


class PreVoteRequest(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Asks whether a vote in ``term`` could be won; promises nothing.

    ``restarted`` is set while the sender has heard from no leader since its
    start, and still has to ignore candidates for the sake of an older one.
    """

    term: int
    last_index: int
    last_term: int
    restarted: bool = False


class PreVoteReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """``term`` is the asked term when granted, else the voter's own.

    ``restarted`` answers a request that says so: the voter, too, has heard
    from no leader since its start.
    """

    term: int
    granted: bool
    restarted: bool = False


class VoteRequest(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Asks for the vote of ``term``.

    ``hand_over`` is set when the leader itself asked for the election: it has
    given up its lease, so voters needn't wait until they miss it. So it is with
    ``restarted``: every voter has told that it restarted, and so nobody leads.
    """

    term: int
    last_index: int
    last_term: int
    hand_over: bool = False
    restarted: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The answer to a vote request, in the voter's term."""

    term: int
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Entries that follow ``prev_index``; without entries a heartbeat.

    ``round_number`` is echoed by the follower. It tells the leader at the
    latest since when the follower has been ignoring other candidates.
    """

    term: int
    prev_index: int
    prev_term: int
    commit_index: int
    round_number: int
    entries: tuple[LogEntry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """How far the follower's synced log agrees with the leader's.

    On success ``match_index`` is the last index that agrees. Otherwise
    ``rejected_index`` repeats the request's ``prev_index`` and the hint is the
    last entry of the follower that may still agree.
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
    """A whole snapshot for a follower that needs entries already dropped."""

    term: int
    snapshot: SnapshotMeta
    payload: bytes
    round_number: int


class SnapshotReply(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The follower's synced state reaches ``match_index``."""

    term: int
    match_index: int
    round_number: int


class TimeoutNow(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """The leader of ``term`` asks the target to stand for election at once."""

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
    """A message with the identities of its sender and its receiver.

    The transport may fill in ``source_address``, so that a new learner can
    answer a leader that it doesn't know yet.
    """

    source: str
    target: str
    message: PeerMessage
    source_address: str = ''
