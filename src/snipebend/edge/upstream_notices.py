"""Applies and logs what upstreams state about themselves in responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.cold_tracker import ColdTracker
    from snipebend.edge.crash_tracker import CrashTracker
    from snipebend.edge.rate_limit_tracker import RateLimitTracker
    from snipebend.edge.relay_meters import RelayMeters
    from snipebend.relay.facts import BackoffRequest, ResponseFacts
    from snipebend.relay.upstreams import Upstream


class UpstreamNotices:
    """Applies limits, backoffs, shutdowns and identity mismatches."""

    def __init__(
        self,
        now: Callable[[], float],
        meters: RelayMeters,
        limits: RateLimitTracker,
        cold: ColdTracker,
        crashes: CrashTracker,
    ) -> None:
        """Keep the trackers; other state is kept per upstream."""
        self._now = now
        self._meters = meters
        self._limits = limits
        self._cold = cold
        self._crashes = crashes

    def apply(
        self, upstream: Upstream, facts: ResponseFacts, call_started_at: float
    ) -> None:
        """Apply the facts of a response, unless another incarnation sent it.

        ``call_started_at`` is in monotonic seconds.
        """
        self._cold.record_response(upstream, facts)
        if facts.identity_mismatch:
            upstream.displaced = True
            self._crashes.record_successor(
                upstream.record.address, 'another incarnation responds'
            )
            return
        self._crashes.record_response(upstream, call_started_at)
        self._limits.record_response(upstream, facts, call_started_at)
        if facts.backoff is not None:
            self._apply_backoff(upstream, facts.backoff)
        if facts.leaving and not upstream.leaving:
            self._apply_leaving(upstream)

    def _apply_backoff(
        self, upstream: Upstream, backoff: BackoffRequest
    ) -> None:
        record = upstream.record
        if backoff.seconds is None:
            logger.warning('event=rest_unreadable upstream={}', record.identity)
            return
        upstream.record_backoff(self._now() + backoff.seconds)
        self._meters.count_declining_upstream(record.service, 'resting')
        logger.info(
            'event=upstream_rests upstream={} service={} rest_ms={:.0f}',
            record.identity,
            record.service,
            1000 * backoff.seconds,
        )

    def _apply_leaving(self, upstream: Upstream) -> None:
        record = upstream.record
        upstream.leaving = True
        self._meters.count_declining_upstream(record.service, 'leaving')
        logger.info(
            'event=upstream_leaves upstream={} service={} phase={} '
            + 'roster_revision={}',
            record.identity,
            record.service,
            record.phase.name,
            record.revision,
        )
