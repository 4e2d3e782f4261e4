"""Messages of the control daemons' interface about the configuration."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from snipebend.fleet.delta import FleetDelta


class ApplyOutcome(Enum):
    """What became of an ``apply``."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'


class ApplyRequest(Struct, frozen=True):
    """Put a fleet file in force as a whole.

    ``change_id`` makes a resend safe; ``expected_revision`` is the revision
    that the operator has seen.
    """

    change_id: str
    expected_revision: int
    text: str
    author: str = ''


class ApplyReply(Struct, frozen=True):
    """The first answer to a change id, for all its resends.

    ``revision`` is the revision in force after the change, or the winner's on
    a conflict, whose file is then ``text``.
    """

    outcome: ApplyOutcome
    revision: int
    message: str = ''
    text: str = ''


class ShowRequest(Struct, frozen=True):
    """Ask what is in force."""


class ShowReply(Struct, frozen=True):
    """The configuration in force; revision 0 and no text: none yet.

    ``confirmed`` holds the revisions of the processes whose configuration
    lease may still run, ``lapsed`` those that fell silent. ``complete`` tells
    whether the answering daemon has been up for a lease's time.
    """

    revision: int
    text: str
    confirmed: dict[str, int] = {}
    lapsed: tuple[str, ...] = ()
    complete: bool = True


class WatchRequest(Struct, frozen=True):
    """Ask for every configuration newer than ``revision``.

    ``full`` asks for the whole text first, after a delta that didn't fit.
    """

    process: str
    revision: int
    full: bool = False


class Configuration(Struct, frozen=True):
    """What is in force, on its way to a process.

    A whole ``text``, a ``delta`` from revision ``base``, or neither: then
    ``revision`` is still in force. ``checksum`` is that of the fleet.
    ``elapsed_s`` counts from when the watch arrived, ``confirmed_ago_s`` from
    when a quorum last confirmed that the sender was current; negative: never.
    """

    revision: int
    text: str = ''
    base: int = 0
    delta: FleetDelta | None = None
    checksum: int = 0
    elapsed_s: float = 0
    confirmed_ago_s: float = -1
