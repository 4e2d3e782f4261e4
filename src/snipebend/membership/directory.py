"""The directory of upstreams, built from their announcements.

An upstream is listed while its lease is valid, and suspected when it has missed
an announcement. An announcement is ignored unless its incarnation and sequence
are newer than those of the last one from its upstream, which is kept for
``TOMBSTONE_S`` after the lease has expired. A copy that arrives later than that
lists the upstream again. While the last announcement is kept, an incarnation
that was leaving remains so. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from msgspec.structs import replace

from snipebend.membership.directory_delta import is_same_member
from snipebend.membership.messages import Announcement, Phase
from snipebend.membership.wheel import DeadlineWheel

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds without an announcement after which an upstream is removed.
ANNOUNCEMENT_LEASE_S = 5.0
#: Seconds without an announcement after which an upstream is suspected: it gets
#: new requests only if no other upstream can take them.
SUSPICION_S = 2.5
#: Seconds for which the last announcement of a removed upstream is kept, so
#: that a copy that arrives within them cannot restore it.
TOMBSTONE_S = 60.0
_TICK_S = 0.25


class Member(NamedTuple):
    """An upstream's latest announcement.

    ``received_at`` is the time of its receipt, ``joined_at`` the time of the
    first announcement of this incarnation.
    """

    announcement: Announcement
    received_at: float
    joined_at: float

    def is_overdue(self, now: float) -> bool:
        """Return whether the next announcement is overdue."""
        return now >= self.received_at + SUSPICION_S


class UpstreamDirectory:
    """The latest announcement of each upstream, until its lease expires."""

    def __init__(self) -> None:
        """Create an empty directory."""
        self._members: dict[str, Member] = {}
        self._leases = DeadlineWheel(_TICK_S)
        self._last_announcements: dict[str, Announcement] = {}
        self._tombstone_deadlines = DeadlineWheel(_TICK_S)
        #: Incremented when a member joins, leaves, or changes in more than its
        #: load.
        self.version = 0

    def record(self, announcement: Announcement, now: float) -> bool:
        """Record an announcement; return False for a late or repeated copy."""
        name = announcement.upstream
        self.expire(now)
        known = self._members.get(name)
        last = (
            known.announcement if known else self._last_announcements.get(name)
        )
        if last is not None and not _is_newer(announcement, last):
            return False
        joined_at = now
        if last is not None and last.incarnation == announcement.incarnation:
            announcement = _keep_leaving(announcement, last)
            joined_at = known.joined_at if known else now
        if known is None or not is_same_member(
            known.announcement, announcement
        ):
            self.version += 1
        self._members[name] = Member(announcement, now, joined_at)
        self._leases.renew(name, now + ANNOUNCEMENT_LEASE_S)
        self._last_announcements.pop(name, None)
        self._tombstone_deadlines.remove(name)
        return True

    def members(self, now: float) -> tuple[Member, ...]:
        """Return the members with a valid lease; remove the others."""
        self.expire(now)
        return tuple(self._members.values())

    def fresh(self, now: float) -> tuple[Announcement, ...]:
        """Return the announcements with a valid lease; remove the others."""
        return tuple(member.announcement for member in self.members(now))

    def select(
        self, names: Iterable[str], now: float
    ) -> tuple[Announcement, ...]:
        """Return the announcements of these members that are still valid.

        They are in the order of ``names``.
        """
        self.expire(now)
        known = map(self._members.get, names)
        return tuple(member.announcement for member in known if member)

    def expire(self, now: float) -> None:
        """Remove the members whose lease has expired."""
        for name in self._leases.pop_expired(now):
            self.version += 1
            self._last_announcements[name] = self._members.pop(
                name
            ).announcement
            self._tombstone_deadlines.renew(name, now + TOMBSTONE_S)
        for removed in self._tombstone_deadlines.pop_expired(now):
            self._last_announcements.pop(removed)


def _is_newer(announcement: Announcement, known: Announcement) -> bool:
    return (announcement.incarnation, announcement.sequence) > (
        known.incarnation,
        known.sequence,
    )


def _keep_leaving(current: Announcement, last: Announcement) -> Announcement:
    """Keep a leaving upstream leaving until a new incarnation starts."""
    if last.phase is Phase.LEAVING:
        return replace(current, phase=Phase.LEAVING)
    return current
