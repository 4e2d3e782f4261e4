"""Placement from scratch: replication and packing of experts.

Spare slots are assigned one by one to the expert with the largest load per
replica. The replicas are then packed in order of decreasing load onto the least
loaded rank that has a free slot and doesn't hold the same expert yet: the
longest-processing-time rule of R. L. Graham, "Bounds on multiprocessing timing
anomalies", SIAM J. Appl. Math. 17(2), 1969, with a cardinality limit per rank.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np

from snipebend.errors.hierarchy import InvalidInputError
from snipebend.experts.model import ExpertMap

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.model import GroupShape

_EMPTY = -1


def place_from_scratch(
    shape: GroupShape,
    loads: NDArray[np.float64],
    version: int,
) -> ExpertMap:
    """Return a balanced map for the loads, layers by experts.

    Raises ``InvalidInputError`` if there are too few slots to hold every expert
    once, or so many that a rank would have to hold one expert twice.
    """
    check_shape(shape)
    replicas = choose_replicas(shape, loads)
    packing = _Packing(shape)
    for experts, weights in _hottest_first(replicas, loads):
        packing.add(experts, weights)
    return ExpertMap(version, packing.placement)


def check_shape(shape: GroupShape) -> None:
    """Raise ``InvalidInputError`` unless the shape permits a valid map."""
    capacity = shape.ranks * shape.slots
    if capacity < shape.experts:
        raise InvalidInputError(
            f'{capacity} slots cannot hold {shape.experts} experts',
            step='place experts',
        )
    if shape.slots > shape.experts:
        raise InvalidInputError(
            f'{shape.slots} slots on a rank exceed {shape.experts} experts',
            step='place experts',
        )


def choose_replicas(
    shape: GroupShape,
    loads: NDArray[np.float64],
) -> NDArray[np.int64]:
    """Return the number of replicas of each expert, layers by experts.

    All slots are used; no expert gets more replicas than there are ranks.
    """
    replicas = np.ones(loads.shape, dtype=np.int64)
    layers = np.arange(shape.layers)
    for _ in range(shape.ranks * shape.slots - shape.experts):
        can_grow = replicas < shape.ranks
        heat = np.where(can_grow, loads / replicas, _EMPTY)
        replicas[layers, heat.argmax(axis=1)] += 1
    return replicas


def _hottest_first(
    replicas: NDArray[np.int64],
    loads: NDArray[np.float64],
) -> list[tuple[NDArray[np.int64], NDArray[np.float64]]]:
    """Return the replicas in order of decreasing load, with their loads.

    Each entry has one expert per layer.
    """
    experts = np.arange(loads.shape[1])
    per_replica = loads / replicas
    order = np.argsort(-per_replica, axis=1, kind='stable')
    rows = [
        np.repeat(experts[row], count[row])
        for row, count in zip(order, replicas, strict=True)
    ]
    expert_order = np.array(rows)
    weights = np.take_along_axis(per_replica, expert_order, axis=1)
    return list(zip(expert_order.T, weights.T, strict=True))


class _Packing:
    """Packs the ranks of all layers, one replica per layer at a time."""

    def __init__(self, shape: GroupShape) -> None:
        """Create a placement whose slots are all empty."""
        self.placement = np.full(shape.placement_shape, _EMPTY, dtype=np.int16)
        self._slots = shape.slots
        self._layers = np.arange(shape.layers)
        self._filled = np.zeros((shape.layers, shape.ranks), dtype=np.int64)
        self._loads = np.zeros((shape.layers, shape.ranks))
        held_axes = (shape.layers, shape.ranks, shape.experts)
        self._held = np.zeros(held_axes, dtype=np.bool_)

    def add(
        self,
        experts: NDArray[np.int64],
        weights: NDArray[np.float64],
    ) -> None:
        """Add one expert per layer to the least loaded rank with room."""
        has_room = self._filled < self._slots
        holds = self._held[self._layers, :, experts]
        scores = np.where(has_room & ~holds, self._loads, np.inf)
        ranks = scores.argmin(axis=1)
        stuck = np.isinf(scores[self._layers, ranks])
        for layer in np.flatnonzero(stuck):
            ranks[layer] = self._make_room(int(layer), int(experts[layer]))
        slots = self._filled[self._layers, ranks]
        self.placement[self._layers, ranks, slots] = experts
        self._filled[self._layers, ranks] += 1
        self._loads[self._layers, ranks] += weights
        self._held[self._layers, ranks, experts] = True

    def _make_room(self, layer: int, expert: int) -> int:
        """Free a slot on a full rank that doesn't hold the expert.

        One of that rank's experts moves to a rank with room, since all ranks
        with room already hold ``expert``. The load of the moved replica stays
        accounted to its old rank: it is one of the smallest loads, and a search
        follows.
        """
        filter_with_room = int((self._filled[layer] < self._slots).argmax())
        lacking = np.flatnonzero(~self._held[layer, :, expert])
        movable = [
            (int(rank), slot)
            for rank in lacking
            for slot in range(self._slots)
            if not self._held[
                layer, filter_with_room, self.placement[layer, rank, slot]
            ]
        ]
        rank, slot = movable[-1]
        self._relocate(layer, rank, slot, filter_with_room)
        return rank

    def _relocate(self, layer: int, rank: int, slot: int, target: int) -> None:
        row = self.placement[layer]
        moved = row[rank, slot]
        row[target, self._filled[layer, target]] = moved
        self._filled[layer, target] += 1
        self._held[layer, target, moved] = True
        self._held[layer, rank, moved] = False
        last = self._filled[layer, rank] - 1
        row[rank, slot] = row[rank, last]
        row[rank, last] = _EMPTY
        self._filled[layer, rank] = last
