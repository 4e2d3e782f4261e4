"""Raft records that are stored in files and sent to other members.

Like the messages, they are tagged ``msgspec`` structs.
"""

from __future__ import annotations

import enum

import msgspec


class EntryKind(enum.StrEnum):
    """What the payload of a log entry contains."""

    COMMAND = 'command'
    MEMBERS = 'members'
    NOOP = 'noop'


class Member(msgspec.Struct, frozen=True, tag=True):
    """A process that holds a replica.

    A new ``member_id`` is generated whenever the disk is empty. ``name`` is for
    operators, and ``address`` (``host:port``) for the transport.
    """

    member_id: str
    name: str
    address: str


class Members(msgspec.Struct, frozen=True, tag=True):
    """The members of the group; learners store entries but do not vote."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()


class LogEntry(msgspec.Struct, frozen=True, tag=True):
    """A log entry; if ``kind`` is MEMBERS, the payload encodes ``Members``."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b''


class HardState(msgspec.Struct, frozen=True, tag=True):
    """Term and vote, which must be synced before a peer can observe them."""

    term: int = 0
    voted_for: str | None = None


class SnapshotMeta(msgspec.Struct, frozen=True, tag=True):
    """The last entry that a snapshot covers, and the members as of it."""

    index: int
    term: int
    members: Members


_members_decoder = msgspec.msgpack.Decoder(Members)


def encode_members(members: Members) -> bytes:
    """Encode the payload of a ``members`` entry."""
    return msgspec.msgpack.encode(members)


def decode_members(payload: bytes) -> Members:
    """Decode the payload of a ``members`` entry.

    Raises ``msgspec.DecodeError`` if the payload is invalid.
    """
    return _members_decoder.decode(payload)
