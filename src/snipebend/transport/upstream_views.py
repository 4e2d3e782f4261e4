"""What the router is shown of the announced upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.delivery.facts import Target
from snipebend.membership.messages import Phase
from snipebend.routing.views import LoadView, UpstreamView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.membership.messages import Announcement


class _Seen(NamedTuple):
    """An announcement, and when its incarnation was news."""

    announcement: Announcement
    joined_at: float


class UpstreamViews:
    """Turns announcements into the router's views, on the entry's clock.

    An upstream that refused work because it is leaving counts as leaving,
    whatever its announcements still say, until it comes back.
    """

    def __init__(self) -> None:
        """Begin with no upstreams."""
        self._seen: dict[str, _Seen] = {}
        self._loads_at: float = 0
        self._left: dict[str, int] = {}
        self._down_until: dict[str, float] = {}

    def update(
        self, announcements: Iterable[Announcement], heard_at: float
    ) -> None:
        """Replace the announcements; those not named are gone.

        All their loads count as of ``heard_at``, when control last told what
        changed: what it left out is still so, within ``CHANGE_SHARE``.
        """
        self._loads_at = heard_at
        self._seen = {
            one.upstream: self._compare(one, heard_at) for one in announcements
        }

    def note_down(self, upstream: str, until: float) -> None:
        """Remember that an agent found nothing at its upstream's address."""
        self._down_until[upstream] = until

    def expire(self, now: float) -> bool:
        """Try those again whose time is over; tell whether there are any."""
        over = [name for name, at in self._down_until.items() if at <= now]
        for name in over:
            self._down_until.pop(name)
        return bool(over)

    def views(self) -> tuple[UpstreamView, ...]:
        """Return all upstreams as the router sees them."""
        return tuple(map(self._view, self._seen.values()))

    def target(self, upstream: str) -> Target | None:
        """Return where an upstream is reached, None if it has gone."""
        seen = self._seen.get(upstream)
        if seen is None:
            return None
        announcement = seen.announcement
        return Target(
            announcement.upstream,
            announcement.incarnation,
            announcement.http_address,
            announcement.grpc_address,
        )

    def note_leaving(self, upstream: str) -> None:
        """Remember that this life of an upstream takes no new work."""
        seen = self._seen.get(upstream)
        if seen is not None:
            self._left[upstream] = seen.announcement.incarnation

    def _compare(self, announcement: Announcement, now: float) -> _Seen:
        known = self._seen.get(announcement.upstream)
        if known is None:
            return _Seen(announcement, now)
        same_life = known.announcement.incarnation == announcement.incarnation
        return _Seen(announcement, known.joined_at if same_life else now)

    def _view(self, seen: _Seen) -> UpstreamView:
        announcement = seen.announcement
        left = self._left.get(announcement.upstream)
        is_leaving = (
            announcement.phase is not Phase.SERVING
            or left == announcement.incarnation
            or announcement.upstream in self._down_until
        )
        return UpstreamView(
            announcement.upstream,
            announcement.policy,
            announcement.data_center,
            announcement.incarnation,
            'leaving' if is_leaving else 'serving',
            LoadView(
                announcement.running,
                announcement.queued,
                announcement.kv_use,
                self._loads_at,
            ),
            joined_at=seen.joined_at,
        )
