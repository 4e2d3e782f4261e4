"""The pools of a fleet: candidates and gate of each model and service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from snipebend.routing.admission import PoolGate
from snipebend.routing.candidates import DEFAULT_MEMORY_S, CandidateSet
from snipebend.routing.messages import ModelTarget, ServiceTarget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.fleet.model import Fleet, UpstreamPolicy
    from snipebend.routing.messages import Target
    from snipebend.routing.views import UpstreamView


@dataclass(slots=True)
class Pool:
    """The upstreams of one model or service, and the queue before them."""

    key: str
    candidates: CandidateSet
    gate: PoolGate = field(default_factory=PoolGate)

    @property
    def memory_s(self) -> float:
        """Return how long a load report tells upstreams apart."""
        return self.gate.drain.hold_s or DEFAULT_MEMORY_S

    def open_slots(self, entries: int) -> None:
        """Set how many requests this entry may have at the upstreams.

        An equal share of the capacity, or what the entry had when the load
        reports were taken and its share of what was free then. The slots of
        all entries add up to about the capacity however late the reports
        are: entries that each took all that seems free would stop and start
        together.
        """
        known = self.candidates
        free = known.capacity - known.others - known.own_then
        share = known.own_then + free / entries
        self.gate.slots = max(known.capacity / entries, share)


def pool_key(policy: UpstreamPolicy) -> str:
    """Return the key of the pool that an upstream belongs to."""
    if policy.kind == 'engine':
        return f'model:{policy.model}'
    return f'service:{policy.name}'


class TargetTable:
    """From targets and upstreams to pool keys, for one fleet."""

    def __init__(self, fleet: Fleet) -> None:
        """Build the tables."""
        self.policies = {policy.name: policy for policy in fleet.upstreams}
        self._services = {
            service.name: service.upstream for service in fleet.services
        }
        self.keys = frozenset(map(pool_key, fleet.upstreams))

    def key_of(self, target: Target) -> str:
        """Return the key of a target's pool."""
        match target:
            case ModelTarget(model=model):
                return f'model:{model}'
            case ServiceTarget(service=service):
                return f'service:{self._services.get(service, service)}'

    def group(
        self, views: Iterable[UpstreamView]
    ) -> dict[str, list[tuple[UpstreamView, UpstreamPolicy]]]:
        """Return the views by pool; those of an unknown policy are left out."""
        grouped: dict[str, list[tuple[UpstreamView, UpstreamPolicy]]] = {
            key: [] for key in self.keys
        }
        for view in views:
            policy = self.policies.get(view.policy)
            if policy is not None:
                grouped[pool_key(policy)].append((view, policy))
        return grouped
