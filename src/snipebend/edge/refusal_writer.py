"""Writes and logs the error responses that an entry generates itself."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.relay.retry_after import (
    busy_retry_after_s,
    capacity_retry_after_s,
    outage_retry_after_s,
)
from snipebend.transport.problems import Problem

if TYPE_CHECKING:
    from snipebend.edge.host_follower import HostFollower
    from snipebend.edge.relay_meters import RelayMeters
    from snipebend.edge.response_writer import ResponseWriter
    from snipebend.relay.facts import CallerFacts, Dialect
    from snipebend.relay.problems import Refusal


class RefusalWriter:
    """Writes refusals with the headers of the platform."""

    def __init__(
        self, dialect: Dialect, follower: HostFollower, meters: RelayMeters
    ) -> None:
        """Keep the dialect, and the follower whose state log lines describe."""
        self._dialect = dialect
        self._follower = follower
        self._meters = meters
        # Only spreads callers' retries; predictable numbers do no harm.
        self._rng = random.Random()

    def describe_host_state(self) -> str:
        """Return the document and update age that decisions are based on."""
        update_age_s = self._follower.update_age_s
        age_ms = -1 if update_age_s < 0 else round(1000 * update_age_s)
        return f'document={self._follower.number} news_age_ms={age_ms}'

    def busy_retry_s(self) -> float:
        """Return seconds until a caller retries when all slots are occupied."""
        return busy_retry_after_s(self._rng.random())

    def capacity_retry_s(self, retry_after_s: float) -> float:
        """Return seconds until a caller retries after a known wait."""
        return capacity_retry_after_s(retry_after_s, self._rng.random())

    def outage_retry_s(self, time_left_s: float) -> float:
        """Return seconds until a caller retries during an outage."""
        return outage_retry_after_s(time_left_s, self._rng.random())

    def refuse(
        self, response: ResponseWriter, refusal: Refusal, facts: CallerFacts
    ) -> None:
        """Write and log a refusal."""
        self._meters.count_refusal(refusal.status.value, refusal.title)
        logger.info(
            'event=refused request={} status={} outcome={} detail={!r} '
            + 'retry_after={:.2f} {}',
            facts.request_id,
            refusal.status.value,
            refusal.outcome.value,
            refusal.detail,
            refusal.retry_after_s,
            self.describe_host_state(),
        )
        problem = Problem(
            refusal.status.value,
            refusal.title,
            refusal.detail,
            refusal.outcome,
        )
        response.write_problem(
            problem,
            self._dialect.refusal_headers(
                facts.request_id, refusal.retry_after_s
            ),
        )
