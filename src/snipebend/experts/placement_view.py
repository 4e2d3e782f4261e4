"""Derived arrays of a placement for one round of the local search.

Slots are numbered through a layer (flat slots): slot ``s`` of rank ``r`` is ``r
* slots + s``. Axes are named in the order layers, hot slots (those of the
hottest rank), flat slots or experts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from snipebend.experts.model import count_replicas
from snipebend.experts.skew import slot_loads

if TYPE_CHECKING:
    from numpy.typing import NDArray

#: Score of a change that isn't allowed.
DISALLOWED = np.inf


class HotRank(NamedTuple):
    """The hottest rank of each layer.

    ``slots`` and ``experts`` have the shape layers by hot slots, ``holds``
    layers by experts. ``shared`` (layers by flat slots) states whether the rank
    also holds that slot's expert, ``elsewhere`` (layers by hot slots by flat
    slots) whether the flat slot's rank holds the hot slot's expert.
    """

    load: NDArray[np.float64]
    slots: NDArray[np.int64]
    experts: NDArray[np.int64]
    holds: NDArray[np.bool_]
    shared: NDArray[np.bool_]
    elsewhere: NDArray[np.bool_]


class PlacementView(NamedTuple):
    """One placement under search, with the loads that result from it.

    ``rows`` and ``column`` index the layers, as a flat array and as a column.
    ``replica_load`` is the load of one replica of each expert. ``slot_load``
    and ``rank_load`` give for each flat slot its load and that of its rank;
    ``after_drop`` is the load of the hottest other holder of its expert after
    the slot is overwritten, or ``DISALLOWED`` for an expert's only replica.
    """

    rows: NDArray[np.int64]
    column: NDArray[np.int64]
    flat: NDArray[np.int64]
    loads: NDArray[np.float64]
    replicas: NDArray[np.int64]
    replica_load: NDArray[np.float64]
    slot_load: NDArray[np.float64]
    rank_load: NDArray[np.float64]
    after_drop: NDArray[np.float64]
    hot: HotRank


def view_placement(
    placement: NDArray[np.int16],
    loads: NDArray[np.float64],
) -> PlacementView:
    """Derive the arrays of a placement for the loads, layers by experts."""
    layers, _, slots = placement.shape
    rows = np.arange(layers)
    flat = placement.reshape(layers, -1).astype(np.int64)
    replicas = count_replicas(placement, loads.shape[1])
    slot_load = slot_loads(placement, loads)
    rank_sums = slot_load.sum(axis=2)
    flat_load = slot_load.reshape(layers, -1)
    rank_load = np.repeat(rank_sums, slots, axis=1)
    return PlacementView(
        rows=rows,
        column=rows.reshape(-1, 1),
        flat=flat,
        loads=loads,
        replicas=replicas,
        replica_load=loads / replicas,
        slot_load=flat_load,
        rank_load=rank_load,
        after_drop=_after_drop(flat, replicas, flat_load, rank_load),
        hot=_find_hot(placement, rank_sums, loads.shape[1]),
    )


def _find_hot(
    placement: NDArray[np.int16],
    rank_sums: NDArray[np.float64],
    experts: int,
) -> HotRank:
    rows = np.arange(len(placement))
    column = rows.reshape(-1, 1)
    placement_int64 = placement.astype(np.int64)
    slots = placement.shape[2]
    held = np.zeros((*rank_sums.shape, experts), dtype=np.bool_)
    np.put_along_axis(held, placement_int64, values=True, axis=2)
    hottest = rank_sums.argmax(axis=1)
    hot_experts = placement_int64[rows, hottest]
    holds = held[rows, hottest]
    return HotRank(
        load=rank_sums.max(axis=1),
        slots=hottest.reshape(-1, 1) * slots + np.arange(slots),
        experts=hot_experts,
        holds=holds,
        shared=holds[column, placement_int64.reshape(len(rows), -1)],
        elsewhere=np.repeat(held[column, :, hot_experts], slots, axis=2),
    )


def _after_drop(
    flat: NDArray[np.int64],
    replicas: NDArray[np.int64],
    slot_load: NDArray[np.float64],
    rank_load: NDArray[np.float64],
) -> NDArray[np.float64]:
    """Return for each flat slot the load of the hottest other holder.

    It is the load after the slot is overwritten.
    """
    offsets = np.arange(0, replicas.size, replicas.shape[1])
    keys = flat + offsets.reshape(-1, 1)
    others = _hottest_other(keys.ravel(), rank_load.ravel(), replicas.size)
    count = replicas.ravel()[keys]
    extra = slot_load / np.maximum(count - 1, 1)
    after = others.reshape(flat.shape) + extra
    return np.where(count > 1, after, DISALLOWED)


def _hottest_other(
    keys: NDArray[np.int64],
    rank_load: NDArray[np.float64],
    size: int,
) -> NDArray[np.float64]:
    """Return the load of the hottest other rank with the slot's key."""
    first = np.full(size, -DISALLOWED)
    np.maximum.at(first, keys, rank_load)
    is_first = rank_load >= first[keys]
    ties = np.bincount(keys[is_first], minlength=size)
    second = np.where(ties > 1, first, -DISALLOWED)
    np.maximum.at(second, keys[~is_first], rank_load[~is_first])
    return np.where(is_first, second[keys], first[keys])
