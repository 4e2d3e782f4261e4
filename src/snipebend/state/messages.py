"""Messages of the control daemons' API about the configuration."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from snipebend.fleet.delta import FleetDelta


class ApplyOutcome(Enum):
    """The outcome of an ``apply``."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


class ApplyRequest(Struct, frozen=True):
    """Puts a complete fleet file in force.

    ``change_id`` makes resends idempotent. ``expected_revision`` is the
    revision on which the operator's change is based.
    """

    change_id: str
    expected_revision: int
    text: str
    author: str = ''


class ApplyReply(Struct, frozen=True):
    """The first reply to a change id, repeated for all its resends.

    ``revision`` is the revision in force after the change. On a conflict it is
    the revision of the change that won, and ``text`` is its file.
    """

    outcome: ApplyOutcome
    revision: int
    message: str = ''
    text: str = ''


class ShowRequest(Struct, frozen=True):
    """Requests the configuration in force."""


class ShowReply(Struct, frozen=True):
    """The configuration in force; revision 0 without text if none yet.

    ``confirmed`` maps processes whose configuration lease may not have expired
    to their revisions. ``lapsed`` lists processes whose lease has expired
    without a new confirmation. ``complete`` is set if the replying daemon has
    been running for at least the duration of a lease.
    """

    revision: int
    text: str
    confirmed: dict[str, int] = {}
    lapsed: tuple[str, ...] = ()
    complete: bool = True


class WatchRequest(Struct, frozen=True):
    """Subscribes to all configurations newer than ``revision``.

    ``full`` requests the complete text first, after a delta that could not be
    applied.
    """

    process: str
    revision: int
    full: bool = False


class Configuration(Struct, frozen=True):
    """The configuration in force, as sent to a watching process.

    It contains the complete ``text`` or a ``delta`` from revision ``base``.
    Without either, ``revision`` is still in force. ``checksum`` is that of the
    fleet. ``elapsed_s`` is the time since the watch arrived at the sender,
    ``confirmed_ago_s`` the time since a quorum last confirmed that the sender
    was current; negative if it never has.
    """

    revision: int
    text: str = ''
    base: int = 0
    delta: FleetDelta | None = None
    checksum: int = 0
    elapsed_s: float = 0
    confirmed_ago_s: float = -1
