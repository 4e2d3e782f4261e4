"""Converts announced upstreams into views for the router."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.delivery.facts import Target
from snipebend.membership.messages import Phase
from snipebend.routing.views import LoadView, UpstreamView

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.membership.messages import Announcement


class _KnownUpstream(NamedTuple):
    """An announcement, and when its incarnation was first received."""

    announcement: Announcement
    joined_at: float


class UpstreamViews:
    """Converts announcements into the router's views, on the entry's clock.

    An upstream that refused work because it is leaving counts as leaving, even
    if later announcements do not say so, until a new incarnation is announced.
    """

    def __init__(self) -> None:
        """Initialize without upstreams."""
        self._known_upstreams: dict[str, _KnownUpstream] = {}
        self._loads_at: float = 0
        self._left_incarnations: dict[str, int] = {}
        self._down_until: dict[str, float] = {}

    def update(
        self, announcements: Iterable[Announcement], received_at: float
    ) -> None:
        """Replace all announcements; upstreams not named are removed.

        All loads are dated ``received_at``, the time of the last difference
        from control: a load that it left out is unchanged, within
        ``CHANGE_SHARE``.
        """
        self._loads_at = received_at
        self._known_upstreams = {
            one.upstream: self._build_known(one, received_at)
            for one in announcements
        }

    def record_down(self, upstream: str, until: float) -> None:
        """Record that the address of an upstream refuses connections."""
        self._down_until[upstream] = until

    def expire(self, now: float) -> bool:
        """Restore upstreams whose hold has expired; return if there are any."""
        expired = [name for name, at in self._down_until.items() if at <= now]
        for name in expired:
            self._down_until.pop(name)
        return bool(expired)

    def views(self) -> tuple[UpstreamView, ...]:
        """Return the router's views of all upstreams."""
        return tuple(map(self._view, self._known_upstreams.values()))

    def target(self, upstream: str) -> Target | None:
        """Return the addresses of an upstream, None if it was removed."""
        known = self._known_upstreams.get(upstream)
        if known is None:
            return None
        announcement = known.announcement
        return Target(
            announcement.upstream,
            announcement.incarnation,
            announcement.http_address,
            announcement.grpc_address,
        )

    def record_leaving(self, upstream: str) -> None:
        """Record that this incarnation of an upstream accepts no new work."""
        known = self._known_upstreams.get(upstream)
        if known is not None:
            self._left_incarnations[upstream] = known.announcement.incarnation

    def _build_known(
        self, announcement: Announcement, now: float
    ) -> _KnownUpstream:
        known = self._known_upstreams.get(announcement.upstream)
        if known is None:
            return _KnownUpstream(announcement, now)
        same_incarnation = (
            known.announcement.incarnation == announcement.incarnation
        )
        return _KnownUpstream(
            announcement, known.joined_at if same_incarnation else now
        )

    def _view(self, known: _KnownUpstream) -> UpstreamView:
        announcement = known.announcement
        left = self._left_incarnations.get(announcement.upstream)
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
            joined_at=known.joined_at,
        )
