"""Takes over what upstreams say of themselves in answers, and logs it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.limit_keeper import LimitKeeper
    from snipebend.edge.relay_meters import RelayMeters
    from snipebend.relay.facts import BackoffRequest, ResponseFacts
    from snipebend.relay.upstreams import Upstream


class UpstreamStatements:
    """Hears of limits, rests, leavings and other lives at an address."""

    def __init__(
        self,
        now: Callable[[], float],
        meters: RelayMeters,
        limits: LimitKeeper,
    ) -> None:
        """Keep where limits go; the rest stays with each upstream."""
        self._now = now
        self._meters = meters
        self._limits = limits

    def take(
        self, upstream: Upstream, facts: ResponseFacts, call_started_at: float
    ) -> None:
        """Take over what the answer to a call says, unless another life spoke.

        ``begun_at`` is when the call began, in monotonic seconds.
        """
        if facts.identity_mismatch:
            upstream.displaced = True
            return
        self._limits.record_response(upstream, facts, call_started_at)
        if facts.backoff is not None:
            self._take_rest(upstream, facts.backoff)
        if facts.leaving and not upstream.leaving:
            self._take_leaving(upstream)

    def _take_rest(self, upstream: Upstream, rest: BackoffRequest) -> None:
        record = upstream.record
        if rest.seconds is None:
            logger.warning('event=rest_unreadable upstream={}', record.identity)
            return
        upstream.record_backoff(self._now() + rest.seconds)
        self._meters.declined(record.service, 'resting')
        logger.info(
            'event=upstream_rests upstream={} service={} rest_ms={:.0f}',
            record.identity,
            record.service,
            1000 * rest.seconds,
        )

    def _take_leaving(self, upstream: Upstream) -> None:
        record = upstream.record
        upstream.leaving = True
        self._meters.declined(record.service, 'leaving')
        logger.info(
            'event=upstream_leaves upstream={} service={} phase={} '
            + 'roster_revision={}',
            record.identity,
            record.service,
            record.phase.name,
            record.revision,
        )
