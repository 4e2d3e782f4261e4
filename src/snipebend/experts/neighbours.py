"""Single changes of a map that may take load off the hottest rank.

Each function returns the best change of its kind in each layer. The score of
a change is the load of the hottest rank that it touches, an upper bound where
other holders of a copied expert lose load as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from snipebend.experts.view import BARRED

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.view import View

_UNUSED = -1


class MapChange(NamedTuple):
    """One change a layer: what is written to up to two flat slots.

    ``slots`` and ``experts`` are layers by 2; unused slots are negative.
    """

    scores: NDArray[np.float64]
    slots: NDArray[np.int64]
    experts: NDArray[np.int64]

    def count_loads(self) -> NDArray[np.int64]:
        """Return how many slots each layer loads."""
        counts: NDArray[np.int64] = (self.slots >= 0).sum(axis=1)
        return counts

    def only(self, layers: NDArray[np.bool_]) -> MapChange:
        """Return the change with the slots of other layers unused."""
        slots = np.where(layers.reshape(-1, 1), self.slots, _UNUSED)
        return self._replace(slots=slots)


def best_swap(view: View) -> MapChange:
    """Swap an expert of the hottest rank with one of another rank."""
    hot_units = view.unit[view.column, view.hot.experts]
    shift = hot_units[:, :, None] - view.slot_load[:, None, :]
    scores = np.maximum(
        view.hot.load[:, None, None] - shift,
        view.rank_load[:, None, :] + shift,
    )
    barred = view.hot.shared[:, None, :] | view.hot.elsewhere
    best = _pick(np.where(barred, BARRED, scores))
    mine = view.hot.slots[view.rows, best.mine]
    outgoing = view.hot.experts[view.rows, best.mine]
    incoming = view.flat[view.rows, best.other]
    return MapChange(
        best.scores,
        np.stack((mine, best.other), axis=1),
        np.stack((incoming, outgoing), axis=1),
    )


def best_copy(view: View) -> MapChange:
    """Copy an expert of the hottest rank over a replica elsewhere."""
    total = view.loads[view.column, view.hot.experts]
    count = view.replicas[view.column, view.hot.experts]
    after = total / (count + 1)
    relieved = view.hot.load[:, None] - total / count + after
    without = view.rank_load - view.slot_load
    target = without[:, None, :] + after[:, :, None]
    scores = np.maximum(
        np.maximum(target, relieved[:, :, None]),
        view.after_drop[:, None, :],
    )
    barred = view.hot.shared[:, None, :] | view.hot.elsewhere
    best = _pick(np.where(barred, BARRED, scores))
    expert = view.hot.experts[view.rows, best.mine]
    return _single(best.scores, best.other, expert)


def best_overwrite(view: View) -> MapChange:
    """Overwrite a replica on the hottest rank by a cooler expert."""
    hot_units = view.unit[view.column, view.hot.experts]
    coming = view.loads / (view.replicas + 1)
    without = view.hot.load[:, None] - hot_units
    after = without[:, :, None] + coming[:, None, :]
    drops = view.after_drop[view.column, view.hot.slots]
    scores = np.maximum(after, drops[:, :, None])
    barred = view.hot.holds[:, None, :]
    best = _pick(np.where(barred, BARRED, scores))
    slot = view.hot.slots[view.rows, best.mine]
    return _single(best.scores, slot, best.other)


def detour_copy(view: View) -> MapChange:
    """Copy the hottest rank's largest expert where it hurts least.

    The rank that takes it may become the hottest; later changes can then
    gain where none could before.
    """
    mine = view.unit[view.column, view.hot.experts].argmax(axis=1)
    expert = view.hot.experts[view.rows, mine]
    total = view.loads[view.rows, expert]
    after = total / (view.replicas[view.rows, expert] + 1)
    target = view.rank_load - view.slot_load + after[:, None]
    scores = np.maximum(target, view.after_drop)
    barred = view.hot.shared | view.hot.elsewhere[view.rows, mine]
    best = _pick(np.where(barred, BARRED, scores)[:, None, :])
    return _single(best.scores, best.other, expert)


def choose(
    changes: list[MapChange],
    choice: NDArray[np.int64],
) -> MapChange:
    """Return for each layer the change that ``choice`` names."""
    rows = np.arange(len(choice))
    scores = np.array([change.scores for change in changes])
    slots = np.array([change.slots for change in changes])
    experts = np.array([change.experts for change in changes])
    return MapChange(
        scores[choice, rows],
        slots[choice, rows],
        experts[choice, rows],
    )


class _Best(NamedTuple):
    scores: NDArray[np.float64]
    mine: NDArray[np.int64]
    other: NDArray[np.int64]


def _pick(scores: NDArray[np.float64]) -> _Best:
    """Return each layer's best pair of the last two axes."""
    rows = scores.reshape(len(scores), -1)
    position = rows.argmin(axis=1)
    mine, other = np.divmod(position, scores.shape[2])
    return _Best(rows[np.arange(len(rows)), position], mine, other)


def _single(
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
