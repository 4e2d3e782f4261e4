"""The directory of upstreams, made from their announcements (pure).

An upstream is listed while its lease holds and suspected when it has missed
an announcement. News of an incarnation that has left, that was replaced or
whose lease has ended long ago never brings it back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from msgspec.structs import replace

from snipebend.membership.directory_delta import same_member
from snipebend.membership.messages import Announcement, Phase
from snipebend.membership.wheel import DeadlineWheel

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds after which an upstream that said nothing is dropped.
ANNOUNCEMENT_LEASE_S = 5.0
#: Seconds after which it is suspected: it takes new work only if no other can.
SUSPICION_S = 2.5
#: Seconds for which the last word of a dropped upstream is remembered, so
#: that a late copy can't bring it back.
TOMBSTONE_S = 60.0
_TICK_S = 0.25


class Member(NamedTuple):
    """An upstream's latest announcement.

    ``heard_at`` is when it came in, ``joined_at`` when this incarnation was
    first heard of.
    """

    announcement: Announcement
    heard_at: float
    joined_at: float

    def is_suspected(self, now: float) -> bool:
        """Tell whether an announcement is overdue."""
        return now >= self.heard_at + SUSPICION_S


class UpstreamDirectory:
    """The latest announcement of each upstream, until its lease ends."""

    def __init__(self) -> None:
        """Start empty."""
        self._members: dict[str, Member] = {}
        self._leases = DeadlineWheel(_TICK_S)
        self._last_words: dict[str, Announcement] = {}
        self._tombstones = DeadlineWheel(_TICK_S)
        #: Grows when a member comes, goes or changes in more than its load.
        self.version = 0

    def record(self, announcement: Announcement, now: float) -> bool:
        """Keep an announcement; return False for a late or repeated copy."""
        name = announcement.upstream
        self.expire(now)
        known = self._members.get(name)
        last = known.announcement if known else self._last_words.get(name)
        if last is not None and not _is_newer(announcement, last):
            return False
        joined_at = now
        if last is not None and last.incarnation == announcement.incarnation:
            announcement = _keep_leaving(announcement, last)
            joined_at = known.joined_at if known else now
        if known is None or not same_member(known.announcement, announcement):
            self.version += 1
        self._members[name] = Member(announcement, now, joined_at)
        self._leases.renew(name, now + ANNOUNCEMENT_LEASE_S)
        self._last_words.pop(name, None)
        self._tombstones.drop(name)
        return True

    def members(self, now: float) -> tuple[Member, ...]:
        """Return the members whose lease holds; drop the others."""
        self.expire(now)
        return tuple(self._members.values())

    def fresh(self, now: float) -> tuple[Announcement, ...]:
        """Return the announcements whose lease holds; drop the others."""
        return tuple(member.announcement for member in self.members(now))

    def pick(
        self, names: Iterable[str], now: float
    ) -> tuple[Announcement, ...]:
        """Return what is fresh of these members, in their order."""
        self.expire(now)
        known = map(self._members.get, names)
        return tuple(member.announcement for member in known if member)

    def expire(self, now: float) -> None:
        """Drop the members whose lease has ended."""
        for name in self._leases.due(now):
            self.version += 1
            self._last_words[name] = self._members.pop(name).announcement
            self._tombstones.renew(name, now + TOMBSTONE_S)
        for forgotten in self._tombstones.due(now):
            self._last_words.pop(forgotten)


def _is_newer(announcement: Announcement, known: Announcement) -> bool:
    return (announcement.incarnation, announcement.sequence) > (
        known.incarnation,
        known.sequence,
    )


def _keep_leaving(news: Announcement, last: Announcement) -> Announcement:
    """Who is leaving stays so: only a new incarnation serves again."""
    if last.phase is Phase.LEAVING:
        return replace(news, phase=Phase.LEAVING)
    return news
