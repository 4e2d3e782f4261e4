"""Messages between the members of a control group."""

from __future__ import annotations

from msgspec import Struct

from snipebend.consensus.actions import Role
from snipebend.consensus.messages import Envelope
from snipebend.consensus.records import Member, Members


class Delivery(Struct, frozen=True):
    """Raft messages and the address for replies to their sender."""

    source_address: str
    envelopes: tuple[Envelope, ...]


class DeliveryEnd(Struct, frozen=True):
    """The reply when a stream of deliveries ends."""


class HelloRequest(Struct, frozen=True):
    """Ask a daemon for its identity; ``name`` is the sender's name."""

    name: str


class HelloReply(Struct, frozen=True):
    """The daemon's identity and the members that it knows.

    ``members`` is empty if it doesn't know of a founded group.
    """

    member: Member
    members: Members = Members()


class JoinRequest(Struct, frozen=True):
    """Ask the leader to add a member with a new disk."""

    member: Member


class JoinReply(Struct, frozen=True):
    """Whether the member is now a learner, and so receives the log."""

    accepted: bool
    reason: str = ''


class ForwardRequest(Struct, frozen=True):
    """An encoded command, forwarded once from a follower to the leader."""

    command: bytes


class ForwardReply(Struct, frozen=True):
    """The encoded reply to a forwarded command."""

    reply: bytes


class ReadIndexRequest(Struct, frozen=True):
    """Ask the leader for the log index that a read must wait for."""


class ReadIndexReply(Struct, frozen=True):
    """A read after this index has been applied is linearizable."""

    index: int


class GroupQuery(Struct, frozen=True):
    """Ask a daemon for its view of the group."""


class GroupReply(Struct, frozen=True):
    """One daemon's view of its group.

    ``role`` is None while the daemon is still looking for its group.
    ``confirmed_ago_s`` is the time in seconds since a quorum confirmed this
    daemon's state; negative if none has.
    """

    member: Member
    role: Role | None = None
    term: int = 0
    leader: str = ''
    members: Members = Members()
    applied: int = 0
    committed: int = 0
    revision: int = 0
    confirmed_ago_s: float = -1
    storage_error: str = ''
