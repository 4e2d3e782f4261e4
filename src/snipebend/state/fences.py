"""Messages about fences: committed numbers that increase per group."""

from __future__ import annotations

from msgspec import Struct

#: Prefix of group names for the leases under which suspect requests run.
SUSPECT_PREFIX = 'suspect:'


class FenceRequest(Struct, frozen=True):
    """Requests a new fence, which makes all earlier ones of the group stale.

    Until ``lease_until`` (wall time in seconds) the holder may give orders.
    ``renews`` is the fence that the holder has and wants to keep; 0 requests a
    new one. ``releases`` ends the lease instead. The lease is identified by the
    holder's name, because the reply with the number may have been lost.
    """

    group: str
    holder: str
    lease_until: float
    renews: int = 0
    releases: bool = False


class FenceReply(Struct, frozen=True):
    """The fence in force; ``granted`` is set if the requester holds it.

    Before ``not_before`` (wall time in seconds) the holder must not give orders
    to an engine that ignores fences, because the previous lease may not have
    expired.
    """

    granted: bool
    fence: int
    holder: str
    lease_until: float
    not_before: float = 0


class FenceQuery(Struct, frozen=True):
    """Requests a group's fence in force from a quorum."""

    group: str
