"""The interface of expert map planners, and a round-robin planner."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import numpy as np

from snipebend.experts.model import ExpertMap, GroupShape
from snipebend.experts.switch_cost import PlacedMap

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.fleet.model import Group
    from snipebend.orders.expert_load import ExpertLoadReply


class Plan(NamedTuple):
    """A map to switch to, or None, and the reason in either case.

    ``skew`` is the skew of the map in force under the latest loads, 0 if
    unknown. ``rate_share`` is the share of the weight store's rate that the
    fetches may use.
    """

    placed: PlacedMap | None
    reason: str
    skew: float = 0
    rate_share: float = 1


class PlanningContext(NamedTuple):
    """The inputs of a plan in addition to the loads.

    ``now`` and ``store_free_at`` are wall times in seconds. ``utilisation`` is
    the share of the group's capacity in use.
    """

    now: float
    changed_at_step: int
    utilisation: float
    store_free_at: float


class MapPlanner(Protocol):
    """Plans the expert maps of one group."""

    def place(self, members: tuple[str, ...], version: int) -> Plan:
        """Plan a map for a new set of members."""

    def rebalance(
        self,
        in_force: PlacedMap,
        loads: Mapping[str, ExpertLoadReply],
        context: PlanningContext,
    ) -> Plan:
        """Plan a better map for the same members from their loads."""


class RoundRobinPlanner:
    """Assigns the experts to slots in turn and never rebalances."""

    def __init__(self, group: Group) -> None:
        """Store the group, whose sizes determine the map."""
        self._group = group

    def place(self, members: tuple[str, ...], version: int) -> Plan:
        """Fill the slots of each layer with the experts in turn."""
        shape = build_shape(self._group, len(members))
        if shape.ranks * shape.slots < shape.experts:
            return Plan(None, 'the members lack slots for all experts')
        layer = np.arange(shape.ranks * shape.slots) % shape.experts
        rows = np.tile(layer, (shape.layers, 1))
        placement = rows.astype(np.int16)
        expert_map = ExpertMap(
            version, placement.reshape(shape.placement_shape)
        )
        return Plan(PlacedMap(members, expert_map), 'members-changed')

    def rebalance(
        self,
        in_force: PlacedMap,
        loads: Mapping[str, ExpertLoadReply],
        context: PlanningContext,
    ) -> Plan:
        """Plan no change."""
        return Plan(None, 'static')


def build_shape(group: Group, ranks: int) -> GroupShape:
    """Return the shape of a group with the given number of ranks."""
    return GroupShape(
        ranks,
        group.experts,
        group.layers,
        min(group.experts_per_rank, group.experts),
        group.expert_bytes,
    )
