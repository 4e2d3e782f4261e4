"""Neighbourhood of a placement: single changes that relieve a hot rank.

Each function returns the best change of its kind in each layer. The score of a
change is the load of the hottest rank that it affects; it is an upper bound
where other holders of a copied expert are relieved as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from snipebend.experts.placement_view import DISALLOWED

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.placement_view import PlacementView

_UNUSED = -1


class MapChange(NamedTuple):
    """One change per layer: the experts written to up to two flat slots.

    ``slots`` and ``experts`` have the shape layers by 2; unused slots are
    negative.
    """

    scores: NDArray[np.float64]
    slots: NDArray[np.int64]
    experts: NDArray[np.int64]

    def count_loads(self) -> NDArray[np.int64]:
        """Return how many slots are loaded in each layer."""
        counts: NDArray[np.int64] = (self.slots >= 0).sum(axis=1)
        return counts

    def restrict_to(self, layers: NDArray[np.bool_]) -> MapChange:
        """Return the change with the slots of all other layers unused."""
        slots = np.where(layers.reshape(-1, 1), self.slots, _UNUSED)
        return self._replace(slots=slots)


def best_swap(view: PlacementView) -> MapChange:
    """Swap an expert of the hottest rank with one of another rank."""
    hot_loads = view.replica_load[view.column, view.hot.experts]
    shift = hot_loads[:, :, None] - view.slot_load[:, None, :]
    scores = np.maximum(
        view.hot.load[:, None, None] - shift,
        view.rank_load[:, None, :] + shift,
    )
    disallowed = view.hot.shared[:, None, :] | view.hot.elsewhere
    best = _find_best_pair(np.where(disallowed, DISALLOWED, scores))
    hot_index = view.hot.slots[view.rows, best.hot_index]
    outgoing = view.hot.experts[view.rows, best.hot_index]
    incoming = view.flat[view.rows, best.other]
    return MapChange(
        best.scores,
        np.stack((hot_index, best.other), axis=1),
        np.stack((incoming, outgoing), axis=1),
    )


def best_copy(view: PlacementView) -> MapChange:
    """Copy an expert of the hottest rank over a replica on another rank."""
    total = view.loads[view.column, view.hot.experts]
    count = view.replicas[view.column, view.hot.experts]
    after = total / (count + 1)
    relieved = view.hot.load[:, None] - total / count + after
    remaining_load = view.rank_load - view.slot_load
    target = remaining_load[:, None, :] + after[:, :, None]
    scores = np.maximum(
        np.maximum(target, relieved[:, :, None]),
        view.after_drop[:, None, :],
    )
    disallowed = view.hot.shared[:, None, :] | view.hot.elsewhere
    best = _find_best_pair(np.where(disallowed, DISALLOWED, scores))
    expert = view.hot.experts[view.rows, best.hot_index]
    return _write_one_slot(best.scores, best.other, expert)


def best_overwrite(view: PlacementView) -> MapChange:
    """Overwrite a replica on the hottest rank by a less loaded expert."""
    hot_loads = view.replica_load[view.column, view.hot.experts]
    added_load = view.loads / (view.replicas + 1)
    remaining_load = view.hot.load[:, None] - hot_loads
    after = remaining_load[:, :, None] + added_load[:, None, :]
    drops = view.after_drop[view.column, view.hot.slots]
    scores = np.maximum(after, drops[:, :, None])
    disallowed = view.hot.holds[:, None, :]
    best = _find_best_pair(np.where(disallowed, DISALLOWED, scores))
    slot = view.hot.slots[view.rows, best.hot_index]
    return _write_one_slot(best.scores, slot, best.other)


def detour_copy(view: PlacementView) -> MapChange:
    """Copy the hottest rank's largest expert where it adds the least load.

    The target may become the hottest rank. This lets the search leave a local
    minimum, since later changes can gain where none could before.
    """
    hot_index = view.replica_load[view.column, view.hot.experts].argmax(axis=1)
    expert = view.hot.experts[view.rows, hot_index]
    total = view.loads[view.rows, expert]
    after = total / (view.replicas[view.rows, expert] + 1)
    target = view.rank_load - view.slot_load + after[:, None]
    scores = np.maximum(target, view.after_drop)
    disallowed = view.hot.shared | view.hot.elsewhere[view.rows, hot_index]
    best = _find_best_pair(np.where(disallowed, DISALLOWED, scores)[:, None, :])
    return _write_one_slot(best.scores, best.other, expert)


def select_changes(
    changes: list[MapChange],
    choice: NDArray[np.int64],
) -> MapChange:
    """Return for each layer the change with the index in ``choice``."""
    rows = np.arange(len(choice))
    scores = np.array([change.scores for change in changes])
    slots = np.array([change.slots for change in changes])
    experts = np.array([change.experts for change in changes])
    return MapChange(
        scores[choice, rows],
        slots[choice, rows],
        experts[choice, rows],
    )


class _BestPair(NamedTuple):
    scores: NDArray[np.float64]
    hot_index: NDArray[np.int64]
    other: NDArray[np.int64]


def _find_best_pair(scores: NDArray[np.float64]) -> _BestPair:
    """Return the pair of the last two axes with the lowest score per layer."""
    rows = scores.reshape(len(scores), -1)
    position = rows.argmin(axis=1)
    hot_index, other = np.divmod(position, scores.shape[2])
    return _BestPair(rows[np.arange(len(rows)), position], hot_index, other)


def _write_one_slot(
    scores: NDArray[np.float64],
    slots: NDArray[np.int64],
    experts: NDArray[np.int64],
) -> MapChange:
    unused = np.full_like(slots, _UNUSED)
    return MapChange(
        scores,
        np.stack((slots, unused), axis=1),
        np.stack((experts, experts), axis=1),
    )
