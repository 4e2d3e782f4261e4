"""The upstreams that can serve one model or service, ready to draw from."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.routing.ejection import Ejector
from snipebend.routing.messages import AttemptOutcome
from snipebend.routing.quarantine import choose_lanes
from snipebend.routing.upstream_state import (
    LEAST_SAMPLES,
    UsualLoad,
    open_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from snipebend.fleet.model import UpstreamPolicy
    from snipebend.routing.upstream_state import UpstreamState
    from snipebend.routing.views import UpstreamView

#: Time that requests are held, until it is measured.
DEFAULT_MEMORY_S = 1.0


class Tiers(NamedTuple):
    """Serving upstreams in the entry's own data centre, and elsewhere."""

    local: tuple[UpstreamState, ...] = ()
    remote: tuple[UpstreamState, ...] = ()


class CandidateSet:
    """The candidates of one pool; changes when the views change."""

    def __init__(self, data_center: str) -> None:
        """Start empty."""
        self._data_center = data_center
        self._tiers: dict[str, Tiers] = {}
        self._updated_at: float | None = None
        self._names: list[str] = []
        self.members: dict[str, UpstreamState] = {}
        self.ejector = Ejector()
        self.lanes: frozenset[str] = frozenset()
        self.capacity: float = 0
        self.others = 0
        self.own_then = 0

    def update(
        self,
        views: Sequence[tuple[UpstreamView, UpstreamPolicy]],
        now: float,
        entries: int = 1,
        memory_s: float = DEFAULT_MEMORY_S,
    ) -> None:
        """Replace the candidates by the views of them.

        ``memory_s`` is the time for which requests are held.
        """
        before = self.members
        self.members = {
            view.name: self._renew(before.get(view.name), view, policy)
            for view, policy in views
        }
        serving = self.serving()
        names = [state.view.name for state in serving]
        self.ejector.watch(names)
        self._judge(serving, now)
        if names != self._names:
            self._names = names
            self.lanes = frozenset(choose_lanes(names))
        self._tiers = {'': self._split(serving)}
        usual = _usual_load(serving, memory_s)
        # The reports will be this much older before the next ones come.
        since = now if self._updated_at is None else self._updated_at
        next_at = now + now - since
        for state in serving:
            state.discount(usual, entries, next_at)
        self._updated_at = now
        self._count(serving, now)

    @property
    def is_empty(self) -> bool:
        """Tell whether no member takes new work."""
        return not self._names

    def serving(self) -> list[UpstreamState]:
        """Return the members that aren't leaving."""
        return [
            state
            for state in self.members.values()
            if state.view.phase == 'serving'
        ]

    def healthy(self, now: float) -> list[UpstreamState]:
        """Return the members that serve and aren't ejected."""
        return [
            state
            for state in self.serving()
            if self.ejector.standing(state.view.name, now) == 'in'
        ]

    def is_local(self, state: UpstreamState) -> bool:
        """Tell whether an upstream is in the entry's own data centre."""
        return state.view.data_center == self._data_center

    def tiers(self, adapter: str) -> Tiers:
        """Return the candidates that have an adapter, or all if none has."""
        tiers = self._tiers.get(adapter)
        if tiers is None:
            every = self.serving()
            fitting = [state for state in every if _has(state, adapter)]
            tiers = self._split(fitting or every)
            self._tiers[adapter] = tiers
        return tiers

    def note_failure(
        self, state: UpstreamState, outcome: AttemptOutcome, now: float
    ) -> None:
        """Draw the conclusions from an attempt that wasn't served."""
        name = state.view.name
        policy = state.policy
        match outcome:
            case AttemptOutcome.REFUSED:
                state.limit.overload()
                self.ejector.drop_probe(name)
            case AttemptOutcome.CANCELLED | AttemptOutcome.SERVED:
                self.ejector.drop_probe(name)
            case AttemptOutcome.CRASHED:
                self.ejector.failed(name, now, 1, policy.ejection_s)
            case AttemptOutcome.FAILED | AttemptOutcome.TIMED_OUT:
                limit = policy.ejection_failures
                self.ejector.failed(name, now, limit, policy.ejection_s)

    def describe(self) -> dict[str, dict[str, float | str]]:
        """Return what the dump shows of each member."""
        ejected = self.ejector.ejected
        return {
            name: {
                'phase': state.view.phase,
                'incarnation': state.view.incarnation,
                'own': state.own.current,
                'others': round(state.others, 1),
                'limit': round(state.limit.limit, 1),
                'latency_s': round(state.latency_s, 3),
                'ejected': str(name in ejected).lower(),
            }
            for name, state in self.members.items()
        }

    def _renew(
        self,
        known: UpstreamState | None,
        view: UpstreamView,
        policy: UpstreamPolicy,
    ) -> UpstreamState:
        if known is None or known.view.incarnation != view.incarnation:
            return open_upstream(view, policy)
        if known.policy is not policy:
            known.policy = policy
            known.limit.take_ceiling(policy.max_concurrency)
        known.take_report(view)
        return known

    def _judge(self, serving: list[UpstreamState], now: float) -> None:
        latencies = {
            state.view.name: state.latency_s
            for state in serving
            if state.samples >= LEAST_SAMPLES
        }
        if latencies:
            span = serving[0].policy.ejection_s
            self.ejector.eject_stragglers(latencies, now, span)

    def _split(self, states: list[UpstreamState]) -> Tiers:
        local = [state for state in states if self.is_local(state)]
        remote = [state for state in states if not self.is_local(state)]
        return Tiers(tuple(local), tuple(remote))

    def _count(self, serving: list[UpstreamState], now: float) -> None:
        counted = [
            state
            for state in serving
            if self.ejector.standing(state.view.name, now) != 'out'
        ]
        # When all start at once, the slow start spares nobody.
        full = max((state.ramp(now) for state in counted), default=1)
        self.capacity = sum(
            state.limit.limit * state.ramp(now) / full for state in counted
        )
        self.others = sum(state.reported_others for state in counted)
        self.own_then = sum(state.own_then for state in counted)


def _has(state: UpstreamState, adapter: str) -> bool:
    return adapter in state.view.resident


def _usual_load(serving: list[UpstreamState], memory_s: float) -> UsualLoad:
    count = max(1, len(serving))
    return UsualLoad(
        sum(state.own.current for state in serving) / count,
        sum(state.reported_others for state in serving) / count,
        memory_s,
    )
