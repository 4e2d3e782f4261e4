"""How the control leader gets its expert maps: the planner's interface."""

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
    """A map to switch to, or none, and the reason in either case.

    ``skew`` is that of the map in force under the latest loads, 0 if unknown;
    ``pace`` the share of the weight store's rate that the fetches may use.
    """

    placed: PlacedMap | None
    reason: str
    skew: float = 0
    pace: float = 1


class GroupFacts(NamedTuple):
    """What a plan must heed beside the loads.

    ``now`` and ``store_free_at`` are wall time in seconds, ``utilisation`` is
    the share of the group's capacity that serving uses now.
    """

    now: float
    changed_at_step: int
    utilisation: float
    store_free_at: float


class MapPlanner(Protocol):
    """Plans the maps of one group."""

    def place(self, members: tuple[str, ...], version: int) -> Plan:
        """Plan a map for new members."""

    def rebalance(
        self,
        in_force: PlacedMap,
        loads: Mapping[str, ExpertLoadReply],
        facts: GroupFacts,
    ) -> Plan:
        """Plan a better map for the same members, from their loads."""


class EvenPlanner:
    """Deals the experts out in order and never rebalances."""

    def __init__(self, group: Group) -> None:
        """Keep the group's sizes."""
        self._group = group

    def place(self, members: tuple[str, ...], version: int) -> Plan:
        """Fill the slots of each layer with all experts in turn."""
        shape = shape_of(self._group, len(members))
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
        facts: GroupFacts,
    ) -> Plan:
        """Keep the map in force."""
        return Plan(None, 'static')


def shape_of(group: Group, ranks: int) -> GroupShape:
    """Return a group's sizes for the ranks that are members."""
    return GroupShape(
        ranks,
        group.experts,
        group.layers,
        min(group.experts_per_rank, group.experts),
        group.expert_bytes,
    )
