"""Records of log replication that go into files as well as over the wire.

Like the messages they are tagged ``msgspec`` structs.
"""

from __future__ import annotations

import enum

import msgspec


class EntryKind(enum.StrEnum):
    """What a log entry carries."""

    COMMAND = 'command'
    MEMBERS = 'members'
    NOOP = 'noop'


class Member(msgspec.Struct, frozen=True, tag=True):
    """One process that holds a replica.

    ``member_id`` is made anew whenever the disk is empty; ``name`` and
    ``address`` (``host:port``) are for people and for the transport.
    """

    member_id: str
    name: str
    address: str


class Members(msgspec.Struct, frozen=True, tag=True):
    """A configuration of the group; learners store entries but don't vote."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()


class LogEntry(msgspec.Struct, frozen=True, tag=True):
    """One entry; a ``members`` entry's payload is an encoded ``Members``."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b''


class HardState(msgspec.Struct, frozen=True, tag=True):
    """What must be on disk before a vote or a new term is shown to a peer."""

    term: int = 0
    voted_for: str | None = None


class SnapshotMeta(msgspec.Struct, frozen=True, tag=True):
    """The last entry that a snapshot covers, and the members at it."""

    index: int
    term: int
    members: Members


_members_decoder = msgspec.msgpack.Decoder(Members)


def encode_members(members: Members) -> bytes:
    """Encode the payload of a ``members`` entry."""
    return msgspec.msgpack.encode(members)


def decode_members(payload: bytes) -> Members:
    """Decode the payload of a ``members`` entry.

    Raises ``msgspec.DecodeError`` for other bytes.
    """
    return _members_decoder.decode(payload)
