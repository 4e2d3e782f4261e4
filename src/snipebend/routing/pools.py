"""The pools of a fleet: one set of upstreams per model or service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from snipebend.routing.admission import PoolGate
from snipebend.routing.candidates import DEFAULT_REPORT_DECAY_S, CandidateSet
from snipebend.routing.messages import ModelTarget, ServiceTarget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.fleet.model import Fleet, UpstreamPolicy
    from snipebend.routing.messages import Target
    from snipebend.routing.views import UpstreamView


@dataclass(slots=True)
class Pool:
    """The upstreams of one model or service, and their admission gate."""

    key: str
    candidates: CandidateSet
    gate: PoolGate = field(default_factory=PoolGate)

    @property
    def report_decay_s(self) -> float:
        """Return the decay time of load reports: the mean holding time."""
        return self.gate.drain_rate.hold_s or DEFAULT_REPORT_DECAY_S

    def update_slots(self, entries: int) -> None:
        """Set how many requests this entry may have at the upstreams.

        The greater of an equal share of the capacity, and the number that the
        entry had when the load reports were taken plus its share of the free
        capacity at that time. The slots of all entries then add up to about
        the capacity, however old the reports are. If each entry used all
        capacity that appears free, the entries would stop and start in step.
        """
        pool = self.candidates
        free = pool.capacity - pool.reported_others - pool.own_at_report
        share = pool.own_at_report + free / entries
        self.gate.slots = max(pool.capacity / entries, share)


def pool_key(policy: UpstreamPolicy) -> str:
    """Return the key of the pool that an upstream belongs to."""
    if policy.kind == 'engine':
        return f'model:{policy.model}'
    return f'service:{policy.name}'


class TargetTable:
    """Maps the targets and upstreams of one fleet to pool keys."""

    def __init__(self, fleet: Fleet) -> None:
        """Build the tables from a fleet."""
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
        """Return the views by pool key; omit those of an unknown policy."""
        grouped: dict[str, list[tuple[UpstreamView, UpstreamPolicy]]] = {
            key: [] for key in self.keys
        }
        for view in views:
            policy = self.policies.get(view.policy)
            if policy is not None:
                grouped[pool_key(policy)].append((view, policy))
        return grouped
