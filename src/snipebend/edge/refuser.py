"""Gives callers the entry's own answers, and logs why."""

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
    from snipebend.edge.answer_writer import AnswerWriter
    from snipebend.edge.host_follower import HostFollower
    from snipebend.edge.relay_meters import RelayMeters
    from snipebend.relay.facts import CallerFacts, Dialect
    from snipebend.relay.problems import Refusal


class Refuser:
    """Writes refusals in the platform's form."""

    def __init__(
        self, dialect: Dialect, follower: HostFollower, meters: RelayMeters
    ) -> None:
        """Keep how refusals are written, and what decisions go by."""
        self._dialect = dialect
        self._follower = follower
        self._meters = meters
        # Spreads the callers' returns only; nobody gains by guessing it.
        self._rng = random.Random()

    def knowledge(self) -> str:
        """Return for a log line what decisions go by, and how old it is."""
        age_s = self._follower.age_s
        age_ms = -1 if age_s < 0 else round(1000 * age_s)
        return f'document={self._follower.number} news_age_ms={age_ms}'

    def wait_for_place_s(self) -> float:
        """Return when a caller that found all places taken comes back."""
        return busy_retry_after_s(self._rng.random())

    def wait_for_room_s(self, retry_after_s: float) -> float:
        """Return when a caller comes back that upstreams had no room for."""
        return capacity_retry_after_s(retry_after_s, self._rng.random())

    def wait_for_outage_s(self, time_left_s: float) -> float:
        """Return when a caller that nobody can serve now comes back."""
        return outage_retry_after_s(time_left_s, self._rng.random())

    def refuse(
        self, answer: AnswerWriter, refusal: Refusal, facts: CallerFacts
    ) -> None:
        """Write an own answer."""
        self._meters.refused(refusal.status.value, refusal.title)
        logger.info(
            'event=refused request={} status={} outcome={} detail={!r} '
            + 'retry_after={:.2f} {}',
            facts.request_id,
            refusal.status.value,
            refusal.outcome.value,
            refusal.detail,
            refusal.retry_after_s,
            self.knowledge(),
        )
        problem = Problem(
            refusal.status.value,
            refusal.title,
            refusal.detail,
            refusal.outcome,
        )
        answer.refuse(
            problem,
            self._dialect.refusal_headers(
                facts.request_id, refusal.retry_after_s
            ),
        )
