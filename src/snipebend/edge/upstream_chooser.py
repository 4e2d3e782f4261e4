"""Chooses upstreams for the calls of one entry, within their limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.relay.upstream_selection import (
    NoCapacity,
    earliest_backoff_end,
    select_upstream,
)
from snipebend.relay.upstream_views import CallRequirements, view_candidates

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from snipebend.edge.rate_limit_tracker import RateLimitTracker
    from snipebend.relay.admission import Admitted
    from snipebend.relay.upstreams import Upstream, UpstreamTable


class UpstreamChooser:
    """Chooses from the upstreams that the entry knows."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        limits: RateLimitTracker,
        data_center: str,
        now: Callable[[], float],
        rng: Random,
    ) -> None:
        """Keep the upstreams, and the data centre of the entry."""
        self._upstreams = upstreams
        self._limits = limits
        self._data_center = data_center
        self._now = now
        self._rng = rng

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

    def find_capacity_wait(
        self, admitted: Admitted, tried: Sequence[str]
    ) -> NoCapacity | None:
        """Return why and until when upstreams accept no calls, if known."""
        now = self._now()
        candidates = self._upstreams.list_service(admitted.service)
        backoff_ends_at = earliest_backoff_end(candidates, now)
        if backoff_ends_at is not None:
            return NoCapacity(
                'all upstreams asked for a rest', backoff_ends_at - now
            )
        wait_s = self._limits.seconds_until_room(
            self._select(admitted.service, self._requirements(admitted, tried))
        )
        if wait_s:
            return NoCapacity('limits leave no room', wait_s)
        return None

    def _requirements(
        self, admitted: Admitted, tried: Sequence[str]
    ) -> CallRequirements:
        return CallRequirements(self._data_center, admitted.route.gap_s, tried)

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
