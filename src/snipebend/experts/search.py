"""Local search by single changes that relieve each layer's hottest rank.

All layers advance together, one change per round, each with the change that
gains most for each slot loaded. This is the move and swap neighbourhood of
makespan scheduling (P. Brucker, J. Hurink, F. Werner, "Improving local search
heuristics for some scheduling problems", Discrete Appl. Math. 65, 1996),
extended by replicas that share their expert's load equally. Where no change
gains, a few detours may temporarily make another rank the hottest, as in tabu
search (F. Glover, "Tabu search, part I", ORSA J. Comput. 1(3), 1989).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from snipebend.experts.neighbours import (
    best_copy,
    best_overwrite,
    best_swap,
    detour_copy,
    select_changes,
)
from snipebend.experts.placement_view import DISALLOWED, view_placement

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.neighbours import MapChange
    from snipebend.experts.placement_view import PlacementView

_MIN_GAIN = 1e-9
#: Largest number of detours of a layer without a new best skew.
_MAX_DETOURS = 2
#: Smallest number of loads that a detour is charged for, and the skew up to
#: which none is made.
_DETOUR_LOADS = 3
_DETOUR_FLOOR = 1.02
#: Largest load of a rank after a detour, relative to the hottest rank before.
_DETOUR_LIMIT = 1.5


class SearchLimits(NamedTuple):
    """Limits of the search in a layer.

    ``min_gain`` is the smallest relative load by which a slot's load must
    relieve the hottest rank; ``rounds`` limits the changes of a layer.
    """

    min_gain: float
    rounds: int


class SearchTrace(NamedTuple):
    """Changes made by the search; axes start with the round.

    ``skews`` and ``loads_used`` (slots loaded so far) have one row more than
    the rounds, for the initial map. ``slots`` and ``experts`` (rounds, layers,
    2) give up to two flat slots of a layer and the experts that were written
    there; unused entries of ``slots`` are negative.
    """

    skews: NDArray[np.float64]
    loads_used: NDArray[np.int64]
    slots: NDArray[np.int64]
    experts: NDArray[np.int64]


def search(
    placement: NDArray[np.int16],
    loads: NDArray[np.float64],
    limits: SearchLimits,
) -> SearchTrace:
    """Improve a placement for the relative loads, layers by experts."""
    placement = placement.copy()
    view = view_placement(placement, loads)
    detours = _Detours(view)
    skews = [view.hot.load]
    changes: list[MapChange] = []
    for _ in range(limits.rounds):
        change = detours.best_change(view, limits.min_gain)
        if not change.count_loads().any():
            break
        apply_change(placement, change)
        view = view_placement(placement, loads)
        detours.note_progress(view)
        changes.append(change)
        skews.append(view.hot.load)
    return _join(skews, changes)


def apply_change(placement: NDArray[np.int16], change: MapChange) -> None:
    """Apply a change in place."""
    flat = placement.reshape(len(placement), -1)
    rows, columns = np.nonzero(change.slots >= 0)
    slots = change.slots[rows, columns]
    flat[rows, slots] = change.experts[rows, columns]


def _join(
    skews: list[NDArray[np.float64]],
    changes: list[MapChange],
) -> SearchTrace:
    layers = len(skews[0])
    axes = (len(changes), layers, 2)
    loads = np.zeros((len(skews), layers), dtype=np.int64)
    for number, change in enumerate(changes):
        loads[number + 1] = loads[number] + change.count_loads()
    return SearchTrace(
        np.array(skews),
        loads,
        np.array([one.slots for one in changes]).reshape(axes),
        np.array([one.experts for one in changes]).reshape(axes),
    )


class _Detours:
    """Chooses the change of each layer and limits its detours."""

    def __init__(self, view: PlacementView) -> None:
        """Allow each layer its maximum number of detours."""
        self._best = view.hot.load
        self._detours_left = np.full(len(view.rows), _MAX_DETOURS)
        self._detour_slots = np.zeros(view.flat.shape, dtype=np.bool_)

    def note_progress(self, view: PlacementView) -> None:
        """Restore the detours of layers that reached a new best skew."""
        improved = view.hot.load < self._best - _MIN_GAIN
        self._best = np.minimum(self._best, view.hot.load)
        self._detours_left = np.where(
            improved, _MAX_DETOURS, self._detours_left
        )
        self._detour_slots[improved] = False

    def best_change(self, view: PlacementView, min_gain: float) -> MapChange:
        """Return the change of each layer that gains most for each load.

        Layers in which no change gains take a detour, or get a change without
        slots.
        """
        view = self._protect_detours(view)
        kinds = [best_swap(view), best_copy(view), best_overwrite(view)]
        gains = np.array(
            [
                (view.hot.load - kind.scores) / kind.count_loads()
                for kind in kinds
            ]
        )
        gaining = gains.max(axis=0) > max(min_gain, _MIN_GAIN)
        detour = detour_copy(view)
        detouring = ~gaining & self._may_detour(view, detour, min_gain)
        self._detours_left = self._detours_left - detouring
        self._note_detours(detour, detouring)
        choice = np.where(detouring, len(kinds), gains.argmax(axis=0))
        change = select_changes([*kinds, detour], choice)
        return change.restrict_to(gaining | detouring)

    def _protect_detours(self, view: PlacementView) -> PlacementView:
        """Disallow changes that would undo a detour before a new best skew."""
        after_drop = np.where(self._detour_slots, DISALLOWED, view.after_drop)
        return view._replace(after_drop=after_drop)

    def _note_detours(
        self,
        detour: MapChange,
        layers: NDArray[np.bool_],
    ) -> None:
        rows = np.flatnonzero(layers)
        self._detour_slots[rows, detour.slots[rows, 0]] = True

    def _may_detour(
        self,
        view: PlacementView,
        detour: MapChange,
        min_gain: float,
    ) -> NDArray[np.bool_]:
        floor = max(_DETOUR_FLOOR, 1 + _DETOUR_LOADS * min_gain)
        acceptable = detour.scores < view.hot.load * _DETOUR_LIMIT
        return acceptable & (view.hot.load > floor) & (self._detours_left > 0)
