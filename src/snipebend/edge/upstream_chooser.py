"""Chooses upstreams for the calls of one entry, within their limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.relay.upstream_selection import (
    NoCapacity,
    earliest_backoff_end,
    select_upstream,
)
from snipebend.relay.upstream_views import (
    CallRequirements,
    list_candidates,
    view_candidates,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from snipebend.edge.cold_tracker import ColdTracker
    from snipebend.edge.evacuations import EvacuationTracker
    from snipebend.edge.rate_limit_tracker import RateLimitTracker
    from snipebend.relay.admission import Admitted
    from snipebend.relay.upstreams import Upstream, UpstreamTable

#: Seconds after which a caller may retry if all data centres of a service are
#: evacuated. The end isn't known; callers wait for a third of their timeout.
EVACUATED_RETRY_S = 1.0


class UpstreamChooser:
    """Chooses from the upstreams that the entry knows."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        limits: RateLimitTracker,
        cold: ColdTracker,
        data_center: str,
        now: Callable[[], float],
        rng: Random,
        evacuations: EvacuationTracker,
        remote_weight: float = 0,
    ) -> None:
        """Keep the upstreams, and the data centre of the entry.

        ``remote_weight`` is the weight of calls to other data centres.
        """
        self._evacuations = evacuations
        self._upstreams = upstreams
        self._limits = limits
        self._cold = cold
        self._data_center = data_center
        self._now = now
        self._rng = rng
        self._remote_weight = remote_weight

    def select(
        self,
        admitted: Admitted,
        tried: Sequence[str],
        *,
        needs_slot: bool = False,
        sample_share: float = 0,
    ) -> Upstream | None:
        """Return an upstream for a call, or None if none has capacity.

        ``needs_slot`` and ``sample_share`` are as in `CallRequirements`.
        """
        requirements = self._requirements(admitted, tried)._replace(
            needs_slot=needs_slot, sample_share=sample_share
        )
        selected = self._select(admitted.service, requirements)
        if requirements.cold is not None:
            self._cold.log_diverted_call(
                admitted.facts.request_id, admitted.service, selected
            )
        if not self._limits.seconds_until_room(selected):
            return selected
        assert selected is not None
        self._limits.log_diverted_call(
            admitted.facts.request_id, admitted.service, selected
        )
        return self._select(admitted.service, requirements, within_limits=True)

    def can_hand_on(
        self, upstream: Upstream, admitted: Admitted, tried: Sequence[str]
    ) -> bool:
        """Return whether nothing speaks against another call of it."""
        requirements = self._requirements(admitted, tried)._replace(
            needs_slot=True
        )
        if self._limits.seconds_until_room(upstream):
            return False
        return any(
            not (view.is_down or view.is_too_slow)
            and not (view.is_avoided or view.is_slow)
            for view in view_candidates([upstream], requirements, self._now())
        )

    def has_alternative(self, admitted: Admitted, tried: Sequence[str]) -> bool:
        """Return whether another upstream can accept a call now."""
        selected = self._select(
            admitted.service,
            self._requirements(admitted, tried),
            within_limits=True,
        )
        return selected is not None

    def list_candidates(
        self, admitted: Admitted, tried: Sequence[str]
    ) -> list[Upstream]:
        """Return the upstreams that a call may go to once they have room."""
        return list_candidates(
            self._upstreams.list_service(admitted.service),
            self._requirements(admitted, tried),
            self._now(),
        )

    def is_within_limits(self, upstream: Upstream) -> bool:
        """Return whether the upstream's limits allow a call now."""
        if self._limits.seconds_until_room(upstream):
            return False
        cold = self._cold.find_limits(upstream.record.service)
        now = self._now()
        return (
            cold is None
            or not cold.is_cold(upstream, now)
            or cold.has_room(upstream, now)
        )

    def record_call(self, upstream: Upstream) -> None:
        """Deduct a call from the upstream's limits as soon as it is chosen."""
        self._limits.record_call(upstream)
        self._cold.record_call(upstream)

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Return whether an upstream must not get anything."""
        return upstream.record.data_center in self._evacuations.data_centers

    def find_capacity_wait(
        self, admitted: Admitted, tried: Sequence[str]
    ) -> NoCapacity | None:
        """Return why and until when upstreams accept no calls, if known."""
        now = self._now()
        known = self._upstreams.list_service(admitted.service)
        candidates = [one for one in known if not self.is_evacuated(one)]
        if known and not candidates:
            return NoCapacity(
                'all data centres of the service are evacuated',
                EVACUATED_RETRY_S,
            )
        backoff_ends_at = earliest_backoff_end(candidates, now)
        if backoff_ends_at is not None:
            return NoCapacity(
                'all upstreams asked for a rest', backoff_ends_at - now
            )
        selected = self._select(
            admitted.service, self._requirements(admitted, tried)
        )
        wait_s = self._limits.seconds_until_room(selected)
        if wait_s:
            return NoCapacity('limits leave no room', wait_s)
        if selected is not None:
            return None
        cold_wait_s = self._cold.find_wait(admitted.service)
        if cold_wait_s is None:
            return None
        return NoCapacity('cold upstreams accept no more yet', cold_wait_s)

    def _requirements(
        self, admitted: Admitted, tried: Sequence[str]
    ) -> CallRequirements:
        return CallRequirements(
            self._data_center,
            admitted.route.gap_s,
            tried,
            evacuated=self._evacuations.data_centers,
            cold=self._cold.find_limits(admitted.service),
            remote_weight=self._remote_weight,
        )

    def _select(
        self,
        service: str,
        requirements: CallRequirements,
        *,
        within_limits: bool = False,
    ) -> Upstream | None:
        candidates: Sequence[Upstream] = self._upstreams.list_service(service)
        if within_limits:
            candidates = self._limits.filter_with_room(candidates)
        return select_upstream(candidates, requirements, self._now(), self._rng)
