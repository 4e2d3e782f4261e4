"""Messages between the control daemons of one group."""

from __future__ import annotations

from msgspec import Struct

from snipebend.consensus.actions import Role
from snipebend.consensus.messages import Envelope
from snipebend.consensus.records import Member, Members


class Delivery(Struct, frozen=True):
    """Messages of log replication, and where to answer their sender."""

    source_address: str
    envelopes: tuple[Envelope, ...]


class DeliveryEnd(Struct, frozen=True):
    """The end of a feed of deliveries."""


class HelloRequest(Struct, frozen=True):
    """Ask a daemon who it is; ``name`` is the asker's."""

    name: str


class HelloReply(Struct, frozen=True):
    """Who answers, and the members that it knows; none: not founded yet."""

    member: Member
    members: Members = Members()


class JoinRequest(Struct, frozen=True):
    """Ask the leader to take in a member whose disk is new."""

    member: Member


class JoinReply(Struct, frozen=True):
    """Whether the member is a learner now; only then the log comes."""

    accepted: bool
    reason: str = ''


class ForwardRequest(Struct, frozen=True):
    """A command, encoded, on its one hop from a follower to the leader."""

    command: bytes


class ForwardReply(Struct, frozen=True):
    """The encoded reply."""

    reply: bytes


class ReadIndexRequest(Struct, frozen=True):
    """Ask the leader up to where a read must see the log applied."""


class ReadIndexReply(Struct, frozen=True):
    """A read that sees this index applied is linearizable."""

    index: int


class GroupQuery(Struct, frozen=True):
    """Ask a daemon for its view of the group."""


class GroupReply(Struct, frozen=True):
    """One daemon's view of its group.

    Without a role it looks for the group still. ``confirmed_ago_s`` is how
    long ago a quorum confirmed this daemon's state, in seconds; negative:
    never yet.
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
