"""Keeps upstreams' limits of requests a second, and logs what they change."""

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


class LimitKeeper:
    """One entry's book of limits."""

    def __init__(self, now: Callable[[], float], meters: RelayMeters) -> None:
        """Start without limits."""
        self.book = RateLimitTable()
        self._now = now
        self._meters = meters

    def record_response(
        self, upstream: Upstream, facts: ResponseFacts, call_started_at: float
    ) -> None:
        """Take note of what an answer says of its upstream's limit."""
        identity = upstream.record.identity
        change = self.book.record_response(
            identity, facts, call_started_at, self._now()
        )
        if change is not None:
            self._note_change(change)

    def apply_report(
        self, entry: str, started_at: float, told: dict[str, LimitReport]
    ) -> None:
        """Take over what another entry tells."""
        changes = self.book.apply_report(entry, started_at, told, self._now())
        for change in changes:
            self._note_change(change)

    def record_call(self, upstream: Upstream) -> None:
        """Take note of a call that begins."""
        self.book.record_call(upstream.record.identity, self._now())

    def with_room(self, upstreams: Sequence[Upstream]) -> Sequence[Upstream]:
        """Return those whose limits leave room for a call now."""
        if not self.book:
            return upstreams
        now = self._now()
        return [
            one
            for one in upstreams
            if self.book.has_room(one.record.identity, now)
        ]

    def wait_for_room_s(self, upstream: Upstream | None) -> float:
        """Return seconds until an upstream's limit leaves room; 0: now."""
        if upstream is None:
            return 0
        return self.book.wait_for_room_s(upstream.record.identity, self._now())

    def note_diverted(
        self, request: str, service: str, upstream: Upstream
    ) -> None:
        """Log that a limit kept a call from the upstream with least work."""
        self._meters.diverted(service)
        logger.info(
            'event=call_diverted request={} service={} upstream={} '
            + 'room_after_ms={:.0f} heard_share={:.2f}',
            request,
            service,
            upstream.record.identity,
            1000 * self.wait_for_room_s(upstream),
            self.book.share,
        )

    def _note_change(self, change: LimitChange) -> None:
        self._meters.limit_changed(in_force=change.per_s is not None)
        logger.info(
            'event=limit_changed upstream={} per_s={} heard_by={}',
            change.upstream,
            change.per_s,
            change.entry or 'self',
        )
