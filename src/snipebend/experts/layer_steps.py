"""All single steps on one layer of a map, weighed at once (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence

    from numpy.typing import NDArray

    from snipebend.experts.layer_state import LayerMap

    Floats = NDArray[np.float64]
    Flags = NDArray[np.bool_]
    Places = NDArray[np.intp]

#: The coldest ranks that a step may use as its target. Trials on random loads
#: of 16 ranks gained under 0.01 of skew from looking at all of them.
TARGETS = 6

#: Exponent of the objective, a norm of the ranks' loads: high enough that the
#: hottest ranks count, low enough that a step on one of two equally hot ranks
#: is a gain.
_SHARPNESS = 8

#: Loads that a step counts at the least: steps that fetch nothing go first.
_LEAST_COST = 0.5

#: The gain of a step that isn't allowed.
_FORBIDDEN = -1e9


class FoundStep(NamedTuple):
    """Give the hot rank's expert to a target, which may drop one for it.

    After a move the hot rank no longer holds the expert; in a swap it gets the
    dropped one as well.
    """

    hot: int
    expert: int
    target: int
    dropped: int | None
    moves: bool
    swaps: bool
    #: Fall of the layer's heat for each expert that is fetched, if only one
    #: rank is as hot as the hottest.
    gain: float


class LayerSteps:
    """Who holds what in one layer, and each rank's load; the mean is 1.

    A step concerns a few ranks and two experts, and only these are weighed
    again: a search of 600 steps in a group of 192 ranks takes 0.11 s of a core,
    0.34 s when each step looks at the whole layer.
    """

    def __init__(
        self,
        layer: LayerMap,
        loads: Sequence[float],
        paces: Sequence[float],
        places: int,
    ) -> None:
        """Start with a map, the experts' loads and the ranks' slowness."""
        self._loads: Floats = np.asarray(loads, dtype=float)
        self._paces: Floats = np.asarray(paces, dtype=float)
        self._places = places
        self._held: Flags = np.zeros((len(layer), len(loads)), dtype=bool)
        for rank, held in enumerate(layer):
            self._held[rank, list(held)] = True
        self._before: Flags = self._held.copy()
        self._copies: Places = self._held.sum(axis=0)
        #: The load of each rank, slow ones' as often as they are.
        self.heat: Floats = self._heat_of(slice(None))
        #: How many experts each rank fetches.
        self.fetched: Places = np.zeros(len(layer), dtype=np.intp)

    @property
    def skew(self) -> float:
        """Return the load of the hottest rank."""
        return float(self.heat.max())

    @property
    def layer(self) -> LayerMap:
        """Return the map."""
        return tuple(
            tuple(np.flatnonzero(held).tolist()) for held in self._held
        )

    def fetching_ranks(self, step: FoundStep) -> list[int]:
        """Return the ranks that a step has fetch an expert."""
        ranks = []
        if not self._before[step.target, step.expert]:
            ranks.append(step.target)
        if step.swaps and not self._before[step.hot, step.dropped]:
            ranks.append(step.hot)
        return ranks

    def apply(self, step: FoundStep) -> None:
        """Carry a step out."""
        concerned = [step.expert]
        self._held[step.target, step.expert] = True
        if step.moves:
            self._held[step.hot, step.expert] = False
        if step.dropped is not None:
            concerned.append(step.dropped)
            self._held[step.target, step.dropped] = False
        if step.swaps:
            self._held[step.hot, step.dropped] = True
        self._copies[concerned] = self._held[:, concerned].sum(axis=0)
        ends = [step.hot, step.target]
        new = self._held[ends] & ~self._before[ends]
        self.fetched[ends] = new.sum(axis=1)
        ranks: Flags = np.any(self._held[:, concerned], axis=1)
        ranks[ends] = True
        self.heat[ranks] = self._heat_of(ranks)

    def best_step(
        self, may_fetch: Flags, spare: int, least_gain: float
    ) -> FoundStep | None:
        """Return the step that gains most; none gains ``least_gain``.

        ``may_fetch`` tells by rank whether it may fetch one more in this
        change, ``spare`` how many of this layer it may.
        """
        heat = self.heat
        hot = int(heat.argmax())
        by_heat = heat.argsort()
        options = _Options(
            self._held,
            self._before,
            self._loads,
            self._paces,
            self._copies,
            hot,
            by_heat[by_heat != hot][:TARGETS],
        )
        free = may_fetch & (self.fetched < spare)
        step = options.best(heat, free, self._places)
        return step if step.gain > least_gain else None

    def _heat_of(self, ranks: Flags | slice) -> Floats:
        parts: Floats = self._loads / self._copies
        heat: Floats = self._paces[ranks] * (self._held[ranks] @ parts)
        return heat


class _Options:
    """The steps from one hot rank to some targets.

    Arrays have the axes: the hot rank's experts, targets, what a target drops
    (nothing first) and the ranks that any of the steps concerns, of which some
    may be missing: 11 in the mean of 192 ranks, 34 at the most.
    """

    def __init__(
        self,
        held: Flags,
        before: Flags,
        loads: Floats,
        paces: Floats,
        copies: Places,
        hot: int,
        targets: Places,
    ) -> None:
        self._held = held
        self._before = before
        self._loads = loads
        self._copies = copies
        self._hot = hot
        self._targets = targets
        self._experts = np.flatnonzero(held[hot])
        #: What each target may drop; padded with 0 where it holds less.
        self._drops = self._list_drops()
        self._is_drop = held[self._targets[:, None], self._drops]
        self._ranks = self._concerned_ranks()
        self._near_held: Flags = held[self._ranks]
        self._near_paces: Floats = paces[self._ranks]
        #: Where the hot rank and the targets stand among these ranks.
        self._near_hot = int(np.searchsorted(self._ranks, hot))
        self._near_targets = np.searchsorted(self._ranks, targets)

    def best(self, heat: Floats, free: Flags, places: int) -> FoundStep:
        """Return the best step; ``free`` are the ranks that may fetch."""
        gain = np.where(
            self._allowed(free, places),
            self._falls(heat) / self._costs(),
            _FORBIDDEN,
        )
        way, expert, target, drop = np.unravel_index(gain.argmax(), gain.shape)
        return FoundStep(
            self._hot,
            int(self._experts[expert]),
            int(self._targets[target]),
            int(self._drops[target, drop - 1]) if drop else None,
            moves=bool(way),
            swaps=way == 2,
            gain=float(gain[way, expert, target, drop]),
        )

    def _falls(self, heat: Floats) -> Floats:
        """Return by how much each step lowers the norm of the ranks' loads.

        Times the ranks that are as hot as the hottest, in parts: a step takes
        load off one of them. Weighed by what it brings to all, the last of many
        hot ranks were left as they were: at 72 ranks a search ended at a skew
        of 1.57 with 109 loads a turn, where 1.19 can be had with 332.
        """
        sharp = _sharpened(heat)
        total = sharp.sum()
        apart = max(0, total - sharp[self._ranks].sum())
        near = heat[self._ranks] + self._near_paces * self._changes()
        after = _sharpened(np.maximum(0, near)).sum(axis=-1)
        root = 1 / _SHARPNESS
        falls: Floats = total**root - (apart + after) ** root
        falls *= total / sharp.max()
        return falls

    def _concerned_ranks(self) -> Places:
        """Return the hot rank, the targets and who shares their experts."""
        shared = np.concatenate([self._experts, self._drops.ravel()])
        concerned: Flags = np.any(self._held[:, shared], axis=1)
        concerned[self._hot] = True
        concerned[self._targets] = True
        ranks: Places = np.flatnonzero(concerned)
        return ranks

    def _list_drops(self) -> Places:
        """Return what targets hold; shorter lists repeat what they lack."""
        held = self._held[self._targets]
        most = int(held.sum(axis=1).max())
        drops: Places = np.argsort(~held, axis=1, kind='stable')[:, :most]
        return drops

    def _changes(self) -> Floats:
        """Return by how much each rank's load changes, by way of the step.

        The ways are: copy or move, and drop; and exchange.
        """
        copied, moved = self._given()
        left, swapped = self._dropped()
        return np.stack(
            [
                copied[:, :, None] + left[None],
                moved[:, :, None] + left[None],
                moved[:, :, None] + swapped[None],
            ]
        )

    def _given(self) -> tuple[Floats, Floats]:
        """Return what a copy or a move changes."""
        loads = self._loads[self._experts]
        copies = self._copies[self._experts]
        rows = np.arange(len(self._targets))
        fewer = loads / (copies + 1) - loads / copies
        holders = self._near_held[:, self._experts].T * fewer[:, None]
        copied = np.repeat(holders[:, None], len(rows), axis=1)
        copied[:, rows, self._near_targets] = (loads / (copies + 1))[:, None]
        moved = np.zeros_like(copied)
        moved[:, :, self._near_hot] = -(loads / copies)[:, None]
        moved[:, rows, self._near_targets] = (loads / copies)[:, None]
        return copied, moved

    def _dropped(self) -> tuple[Floats, Floats]:
        """Return what a drop changes, to nobody and to the hot rank."""
        copies = self._copies[self._drops]
        loads = self._loads[self._drops]
        rows = np.arange(len(self._targets))
        shared = loads / np.maximum(1, copies - 1) - loads / copies
        holders = np.moveaxis(self._near_held[:, self._drops], 0, -1)
        left = holders * shared[..., None]
        left[rows, :, self._near_targets] = -(loads / copies)
        swapped = np.zeros_like(left)
        swapped[rows, :, self._near_targets] = -(loads / copies)
        swapped[:, :, self._near_hot] = loads / copies
        return _after_nothing(left), _after_nothing(swapped)

    def _allowed(self, free: Flags, places: int) -> Flags:
        takes = self._before | free[:, None]
        new = takes[self._targets] & ~self._held[self._targets]
        given = new[:, self._experts].T[:, :, None]
        allowed: Flags = given & self._droppable(takes, places)[:, None]
        return allowed

    def _droppable(self, takes: Flags, places: int) -> Flags:
        """Return by way what each target may drop."""
        counts = self._held[self._targets].sum(axis=1)
        has_room = (counts < places)[:, None]
        spares = self._is_drop & (self._copies[self._drops] > 1)
        back = takes[self._hot] & ~self._held[self._hot]
        swaps = self._is_drop & back[self._drops]
        dropping = np.concatenate([has_room, spares], axis=1)
        swapping = _after_nothing(swaps)
        return np.stack([dropping, dropping, swapping])

    def _costs(self) -> Floats:
        """Return the loads of each step."""
        fetched = ~self._before[self._targets][:, self._experts].T
        returned = ~self._before[self._hot][self._drops]
        back = _after_nothing(returned).astype(float)
        ways = np.stack([np.zeros_like(back), np.zeros_like(back), back])
        costs: Floats = fetched[None, :, :, None] + ways[:, None]
        return costs.clip(min=_LEAST_COST)


def _sharpened(heat: Floats) -> Floats:
    """Return the eighth powers, by squares: 3 us, where a power takes 8."""
    squares = heat * heat
    fourths = squares * squares
    return fourths * fourths


def _after_nothing(changes: NDArray[Any]) -> NDArray[Any]:
    """Put the step that drops nothing first."""
    return np.concatenate([np.zeros_like(changes[:, :1]), changes], axis=1)
