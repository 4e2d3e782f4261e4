"""Messages about fences: committed, growing numbers, one sequence a group."""

from __future__ import annotations

from msgspec import Struct

#: Begins the group of a lease under which one suspect request runs.
SUSPECT_PREFIX = 'suspect:'


class FenceRequest(Struct, frozen=True):
    """Ask for a new fence, which makes all earlier ones of the group stale.

    ``lease_until`` is wall time in seconds until which the holder may order.
    ``renews`` is the fence that the holder has and wants to keep; 0 asks for
    a new one. ``releases`` ends the holder's lease instead, by its name: the
    number may have been lost with an answer.
    """

    group: str
    holder: str
    lease_until: float
    renews: int = 0
    releases: bool = False


class FenceReply(Struct, frozen=True):
    """The fence in force; ``granted`` tells whether the asker holds it.

    ``not_before`` is wall time in seconds before which the holder must not
    order an engine that ignores fences: the former lease may still run.
    """

    granted: bool
    fence: int
    holder: str
    lease_until: float
    not_before: float = 0


class FenceQuery(Struct, frozen=True):
    """Ask a quorum for a group's fence in force."""

    group: str
