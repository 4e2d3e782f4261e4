"""Tracks the rate limits of upstreams, and logs their changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from snipebend.relay.rate_limit_table import RateLimitTable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from snipebend.edge.relay_meters import RelayMeters
    from snipebend.relay.facts import ResponseFacts
    from snipebend.relay.rate_limit_table import LimitChange, LimitReport
    from snipebend.relay.upstreams import Upstream


class RateLimitTracker:
    """The rate limits known to one entry."""

    def __init__(self, now: Callable[[], float], meters: RelayMeters) -> None:
        """Create an empty tracker."""
        self.table = RateLimitTable()
        self._now = now
        self._meters = meters

    def record_response(
        self, upstream: Upstream, facts: ResponseFacts, call_started_at: float
    ) -> None:
        """Apply what a response states about its upstream's limit.

        A late response of an incarnation that has ended says nothing of the
        next one.
        """
        if upstream.displaced:
            return
        identity = upstream.record.identity
        change = self.table.record_response(
            identity, facts, call_started_at, self._now()
        )
        if change is not None:
            self._record_change(change)

    def apply_report(
        self, entry: str, started_at: float, reports: dict[str, LimitReport]
    ) -> None:
        """Apply another entry's reports."""
        changes = self.table.apply_report(
            entry, started_at, reports, self._now()
        )
        for change in changes:
            self._record_change(change)

    def record_call(self, upstream: Upstream) -> None:
        """Deduct a call that begins."""
        self.table.record_call(upstream.record.identity, self._now())

    def filter_with_room(
        self, upstreams: Sequence[Upstream]
    ) -> Sequence[Upstream]:
        """Return the upstreams whose limits allow a call now."""
        if not self.table:
            return upstreams
        now = self._now()
        return [
            one
            for one in upstreams
            if self.table.has_room(one.record.identity, now)
        ]

    def seconds_until_room(self, upstream: Upstream | None) -> float:
        """Return seconds until an upstream's limit allows a call; 0: now."""
        if upstream is None:
            return 0
        return self.table.seconds_until_room(
            upstream.record.identity, self._now()
        )

    def log_diverted_call(
        self, request: str, service: str, upstream: Upstream
    ) -> None:
        """Log that a limit diverted a call from the least loaded upstream."""
        self._meters.count_diverted_call(service)
        logger.info(
            'event=call_diverted request={} service={} upstream={} '
            + 'room_after_ms={:.0f} heard_share={:.2f}',
            request,
            service,
            upstream.record.identity,
            1000 * self.seconds_until_room(upstream),
            self.table.share,
        )

    def _record_change(self, change: LimitChange) -> None:
        self._meters.count_limit_change(in_force=change.per_s is not None)
        logger.info(
            'event=limit_changed upstream={} per_s={} heard_by={}',
            change.upstream,
            change.per_s,
            change.entry or 'self',
        )
