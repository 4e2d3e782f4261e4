"""Local search: single changes that take load off each layer's hottest rank.

All layers advance together, one change a round, each with the change that
gains most for each slot loaded. This is the move and swap neighbourhood of
makespan scheduling (P. Brucker, J. Hurink, F. Werner, "Improving local search
heuristics for some scheduling problems", Discrete Appl. Math. 65, 1996),
extended by replicas that share their expert's load equally. Where nothing
gains, a few detours may make another rank the hottest for a while, as in tabu
search (F. Glover, "Tabu search, part I", ORSA J. Comput. 1(3), 1989).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from snipebend.experts.neighbours import (
    best_copy,
    best_overwrite,
    best_swap,
    choose,
    detour_copy,
)
from snipebend.experts.view import BARRED, take_view

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.neighbours import MapChange
    from snipebend.experts.view import View

_LEAST_GAIN = 1e-9
#: Detours that a layer may take without a new best.
_PATIENCE = 2
#: Loads that a detour costs at least, and the skew below which none is made.
_DETOUR_LOADS = 3
_DETOUR_FLOOR = 1.02
#: How much hotter than the hottest rank a detour may make another one.
_DETOUR_LIMIT = 1.5


class SearchLimits(NamedTuple):
    """When a layer's search ends.

    ``min_gain`` is the least relative load that a slot's load must be able
    to take off the hottest rank; ``rounds`` bounds the changes of a layer.
    """

    min_gain: float
    rounds: int


class Trail(NamedTuple):
    """What the search did, round by round; axes start with the round.

    ``skews`` and ``loads_used`` (slots loaded so far) have one row more than
    the rounds: the map that the search started from. ``slots`` and
    ``experts`` (rounds, layers, 2) name up to two flat slots of a layer and
    what was written there; unused entries of ``slots`` are negative.
    """

    skews: NDArray[np.float64]
    loads_used: NDArray[np.int64]
    slots: NDArray[np.int64]
    experts: NDArray[np.int64]


def search(
    placement: NDArray[np.int16],
    loads: NDArray[np.float64],
    limits: SearchLimits,
) -> Trail:
    """Improve a placement for the relative loads, layers by experts."""
    placement = placement.copy()
    view = take_view(placement, loads)
    detours = _Detours(view)
    skews = [view.hot.load]
    changes: list[MapChange] = []
    for _ in range(limits.rounds):
        change = detours.best_change(view, limits.min_gain)
        if not change.count_loads().any():
            break
        write_change(placement, change)
        view = take_view(placement, loads)
        detours.note_progress(view)
        changes.append(change)
        skews.append(view.hot.load)
    return _join(skews, changes)


def write_change(placement: NDArray[np.int16], change: MapChange) -> None:
    """Carry a change out in place."""
    flat = placement.reshape(len(placement), -1)
    rows, columns = np.nonzero(change.slots >= 0)
    slots = change.slots[rows, columns]
    flat[rows, slots] = change.experts[rows, columns]


def _join(
    skews: list[NDArray[np.float64]],
    changes: list[MapChange],
) -> Trail:
    layers = len(skews[0])
    axes = (len(changes), layers, 2)
    loads = np.zeros((len(skews), layers), dtype=np.int64)
    for turn, change in enumerate(changes):
        loads[turn + 1] = loads[turn] + change.count_loads()
    return Trail(
        np.array(skews),
        loads,
        np.array([one.slots for one in changes]).reshape(axes),
        np.array([one.experts for one in changes]).reshape(axes),
    )


class _Detours:
    """Chooses each layer's change and counts the detours it may still make."""

    def __init__(self, view: View) -> None:
        """Start with full patience."""
        self._best = view.hot.load
        self._patience = np.full(len(view.rows), _PATIENCE)
        self._taken = np.zeros(view.flat.shape, dtype=np.bool_)

    def note_progress(self, view: View) -> None:
        """Renew the patience of layers that reached a new best."""
        improved = view.hot.load < self._best - _LEAST_GAIN
        self._best = np.minimum(self._best, view.hot.load)
        self._patience = np.where(improved, _PATIENCE, self._patience)
        self._taken[improved] = False

    def best_change(self, view: View, min_gain: float) -> MapChange:
        """Return the change of each layer that gains most for each load.

        Layers in which nothing gains detour, or get a change without slots.
        """
        view = self._protect(view)
        kinds = [best_swap(view), best_copy(view), best_overwrite(view)]
        gains = np.array(
            [
                (view.hot.load - kind.scores) / kind.count_loads()
                for kind in kinds
            ]
        )
        gaining = gains.max(axis=0) > max(min_gain, _LEAST_GAIN)
        detour = detour_copy(view)
        detouring = ~gaining & self._may_detour(view, detour, min_gain)
        self._patience = self._patience - detouring
        self._note_detours(detour, detouring)
        choice = np.where(detouring, len(kinds), gains.argmax(axis=0))
        change = choose([*kinds, detour], choice)
        return change.only(gaining | detouring)

    def _protect(self, view: View) -> View:
        """Bar what would undo a detour before it led to a new best."""
        after_drop = np.where(self._taken, BARRED, view.after_drop)
        return view._replace(after_drop=after_drop)

    def _note_detours(
        self,
        detour: MapChange,
        layers: NDArray[np.bool_],
    ) -> None:
        rows = np.flatnonzero(layers)
        self._taken[rows, detour.slots[rows, 0]] = True

    def _may_detour(
        self,
        view: View,
        detour: MapChange,
        min_gain: float,
    ) -> NDArray[np.bool_]:
        floor = max(_DETOUR_FLOOR, 1 + _DETOUR_LOADS * min_gain)
        bearable = detour.scores < view.hot.load * _DETOUR_LIMIT
        return bearable & (view.hot.load > floor) & (self._patience > 0)
