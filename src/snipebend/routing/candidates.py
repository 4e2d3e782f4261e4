"""The candidate upstreams of one model or service."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.routing.ejection import Ejector
from snipebend.routing.messages import AttemptOutcome
from snipebend.routing.quarantine import choose_lanes
from snipebend.routing.upstream_state import (
    MIN_LATENCY_SAMPLES,
    MeanLoad,
    create_upstream_state,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from snipebend.fleet.model import UpstreamPolicy
    from snipebend.routing.upstream_state import UpstreamState
    from snipebend.routing.views import UpstreamView

#: Decay time of load reports until the mean holding time of requests has been
#: measured.
DEFAULT_REPORT_DECAY_S = 1.0


class Tiers(NamedTuple):
    """Serving upstreams in the entry's data centre, and in others."""

    local: tuple[UpstreamState, ...] = ()
    remote: tuple[UpstreamState, ...] = ()


class CandidateSet:
    """The candidates of one pool, updated from membership's views.

    ``capacity`` is the sum of the concurrency limits, ``reported_others`` and
    ``own_at_report`` sum the load at the time of the last reports; all three
    leave out ejected upstreams that cannot be probed yet.
    """

    def __init__(self, data_center: str) -> None:
        """Create an empty set."""
        self._data_center = data_center
        self._tiers: dict[str, Tiers] = {}
        self._updated_at: float | None = None
        self._names: list[str] = []
        self.members: dict[str, UpstreamState] = {}
        self.ejector = Ejector()
        self.lanes: frozenset[str] = frozenset()
        self.capacity: float = 0
        self.reported_others = 0
        self.own_at_report = 0

    def update(
        self,
        views: Sequence[tuple[UpstreamView, UpstreamPolicy]],
        now: float,
        entries: int = 1,
        report_decay_s: float = DEFAULT_REPORT_DECAY_S,
    ) -> None:
        """Replace the candidates by the given views.

        ``report_decay_s`` is the mean holding time of requests.
        """
        previous = self.members
        self.members = {
            view.name: self._update_state(previous.get(view.name), view, policy)
            for view, policy in views
        }
        serving = self.serving()
        names = [state.view.name for state in serving]
        self.ejector.update_candidates(names)
        self._eject_stragglers(serving, now)
        if names != self._names:
            self._names = names
            self.lanes = frozenset(choose_lanes(names))
        self._tiers = {'': self._split_by_location(serving)}
        mean = _mean_load(serving, report_decay_s)
        # Extrapolate to the next update: the reports will be that old by then.
        since = now if self._updated_at is None else self._updated_at
        next_at = now + now - since
        for state in serving:
            state.discount_report(mean, entries, next_at)
        self._updated_at = now
        self._sum_capacity(serving, now)

    @property
    def is_empty(self) -> bool:
        """Return whether no member accepts new requests."""
        return not self._names

    def serving(self) -> list[UpstreamState]:
        """Return the members that are not leaving."""
        return [
            state
            for state in self.members.values()
            if state.view.phase == 'serving'
        ]

    def healthy(self, now: float) -> list[UpstreamState]:
        """Return the serving members that are not ejected."""
        return [
            state
            for state in self.serving()
            if self.ejector.status(state.view.name, now) == 'in'
        ]

    def is_local(self, state: UpstreamState) -> bool:
        """Return whether an upstream is in the entry's data centre."""
        return state.view.data_center == self._data_center

    def tiers(self, adapter: str) -> Tiers:
        """Return the candidates that have an adapter loaded, or all if none."""
        tiers = self._tiers.get(adapter)
        if tiers is None:
            serving = self.serving()
            loaded = [
                state for state in serving if _has_adapter(state, adapter)
            ]
            tiers = self._split_by_location(loaded or serving)
            self._tiers[adapter] = tiers
        return tiers

    def record_failure(
        self, state: UpstreamState, outcome: AttemptOutcome, now: float
    ) -> None:
        """Update the limit and the ejection state after a failed attempt."""
        name = state.view.name
        policy = state.policy
        match outcome:
            case AttemptOutcome.REFUSED:
                state.limit.back_off()
                self.ejector.cancel_probe(name)
            case AttemptOutcome.CANCELLED | AttemptOutcome.SERVED:
                self.ejector.cancel_probe(name)
            case AttemptOutcome.CRASHED:
                self.ejector.record_failure(name, now, 1, policy.ejection_s)
            case AttemptOutcome.FAILED | AttemptOutcome.TIMED_OUT:
                limit = policy.ejection_failures
                self.ejector.record_failure(name, now, limit, policy.ejection_s)

    def describe(self) -> dict[str, dict[str, float | str]]:
        """Return the state of each member for the dump."""
        ejected = self.ejector.ejected
        return {
            name: {
                'phase': state.view.phase,
                'incarnation': state.view.incarnation,
                'own': state.outstanding.current,
                'others': round(state.estimated_others, 1),
                'limit': round(state.limit.limit, 1),
                'latency_s': round(state.latency_s, 3),
                'ejected': str(name in ejected).lower(),
            }
            for name, state in self.members.items()
        }

    def _update_state(
        self,
        known: UpstreamState | None,
        view: UpstreamView,
        policy: UpstreamPolicy,
    ) -> UpstreamState:
        if known is None or known.view.incarnation != view.incarnation:
            return create_upstream_state(view, policy)
        if known.policy is not policy:
            known.policy = policy
            known.limit.update_ceiling(policy.max_concurrency)
        known.apply_report(view)
        return known

    def _eject_stragglers(
        self, serving: list[UpstreamState], now: float
    ) -> None:
        latencies = {
            state.view.name: state.latency_s
            for state in serving
            if state.samples >= MIN_LATENCY_SAMPLES
        }
        if latencies:
            span = serving[0].policy.ejection_s
            self.ejector.eject_stragglers(latencies, now, span)

    def _split_by_location(self, states: list[UpstreamState]) -> Tiers:
        local = [state for state in states if self.is_local(state)]
        remote = [state for state in states if not self.is_local(state)]
        return Tiers(tuple(local), tuple(remote))

    def _sum_capacity(self, serving: list[UpstreamState], now: float) -> None:
        counted = [
            state
            for state in serving
            if self.ejector.status(state.view.name, now) != 'out'
        ]
        # When all upstreams are in slow start at the same time, none can take
        # load from the others: scale by the furthest advanced one.
        full = max(
            (state.slow_start_share(now) for state in counted), default=1
        )
        self.capacity = sum(
            state.limit.limit * state.slow_start_share(now) / full
            for state in counted
        )
        self.reported_others = sum(state.reported_others for state in counted)
        self.own_at_report = sum(state.own_at_report for state in counted)


def _has_adapter(state: UpstreamState, adapter: str) -> bool:
    return adapter in state.view.resident


def _mean_load(serving: list[UpstreamState], report_decay_s: float) -> MeanLoad:
    count = max(1, len(serving))
    return MeanLoad(
        sum(state.outstanding.current for state in serving) / count,
        sum(state.reported_others for state in serving) / count,
        report_decay_s,
    )
