"""Single steps of the map search on one layer, evaluated together; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import numpy as np

if TYPE_CHECKING:
    from numpy.typing import NDArray

    Floats = NDArray[np.float64]
    Flags = NDArray[np.bool_]
    Indices = NDArray[np.intp]

#: Exponent of the objective, a norm of the ranks' heat: high enough that the
#: hottest ranks dominate, low enough that relieving one of two equally hot
#: ranks is a gain.
_NORM_EXPONENT = 8

#: Lower bound of the loads that a step is charged for, so that steps without a
#: fetch come first.
_MIN_COST = 0.5

#: Gain of a step that isn't allowed.
_DISALLOWED_GAIN = -1e9


class CandidateStep(NamedTuple):
    """A step that gives an expert of the hottest rank to a target rank.

    The target may drop another expert for it. After a move the hottest rank no
    longer holds the expert; in a swap it also gets the dropped one.
    """

    hot: int
    expert: int
    target: int
    dropped: int | None
    moves: bool
    swaps: bool
    #: Reduction of the layer's norm for each expert that is fetched, scaled as
    #: if only one rank were as hot as the hottest.
    gain: float


class StepOptions:
    """The candidate steps from the hottest rank to some targets.

    Arrays have the axes: experts of the hottest rank, targets, experts that a
    target drops (the first entry: none) and the ranks that any of the steps
    affects. Some axes may be missing. In a group of 192 ranks the steps affect
    11 ranks on average and at most 34.
    """

    def __init__(
        self,
        held: Flags,
        before: Flags,
        loads: Floats,
        slowness: Floats,
        copies: Indices,
        hot: int,
        targets: Indices,
    ) -> None:
        """Keep the state of the layer and the ranks to consider.

        ``held`` and ``before`` state which rank holds which expert now and in
        the map in force; ``copies`` has the number of holders by expert.
        """
        self._held = held
        self._before = before
        self._loads = loads
        self._copies = copies
        self._hot = hot
        self._targets = targets
        self._experts = np.flatnonzero(held[hot])
        #: The experts that each target holds and could drop; shorter rows are
        #: padded with experts that the target lacks.
        self._drops = self._list_drops()
        self._is_drop = held[self._targets[:, None], self._drops]
        self._ranks = self._find_affected_ranks()
        self._affected_held: Flags = held[self._ranks]
        self._affected_slowness: Floats = slowness[self._ranks]
        #: Positions of the hottest rank and of the targets among the affected
        #: ranks.
        self._affected_hot = int(np.searchsorted(self._ranks, hot))
        self._affected_targets = np.searchsorted(self._ranks, targets)

    def best(
        self, heat: Floats, may_fetch_more: Flags, slots: int
    ) -> CandidateStep:
        """Return the best step.

        ``may_fetch_more`` states for each rank whether it may fetch another
        expert.
        """
        gain = np.where(
            self._is_allowed(may_fetch_more, slots),
            self._norm_reductions(heat) / self._costs(),
            _DISALLOWED_GAIN,
        )
        kind, expert, target, drop = np.unravel_index(gain.argmax(), gain.shape)
        return CandidateStep(
            self._hot,
            int(self._experts[expert]),
            int(self._targets[target]),
            int(self._drops[target, drop - 1]) if drop else None,
            moves=bool(kind),
            swaps=kind == 2,
            gain=float(gain[kind, expert, target, drop]),
        )

    def _norm_reductions(self, heat: Floats) -> Floats:
        """Return by how much each step reduces the norm of the ranks' heat.

        The reduction is multiplied by the effective number of ranks that are as
        hot as the hottest, since a step relieves only one of them. Without this
        factor the last of many hot ranks were not improved: at 72 ranks a
        search ended at a skew of 1.57 with 109 loads per shift of demand, where
        1.19 can be reached with 332.
        """
        terms = _norm_terms(heat)
        total = terms.sum()
        unaffected = max(0, total - terms[self._ranks].sum())
        changed_heat = (
            heat[self._ranks] + self._affected_slowness * self._load_changes()
        )
        after = _norm_terms(np.maximum(0, changed_heat)).sum(axis=-1)
        root = 1 / _NORM_EXPONENT
        reductions: Floats = total**root - (unaffected + after) ** root
        reductions *= total / terms.max()
        return reductions

    def _find_affected_ranks(self) -> Indices:
        """Return the hottest rank, the targets and co-holders of experts."""
        shared = np.concatenate([self._experts, self._drops.ravel()])
        affected: Flags = np.any(self._held[:, shared], axis=1)
        affected[self._hot] = True
        affected[self._targets] = True
        ranks: Indices = np.flatnonzero(affected)
        return ranks

    def _list_drops(self) -> Indices:
        """Return each target's experts, padded with others that it lacks."""
        held = self._held[self._targets]
        max_held = int(held.sum(axis=1).max())
        drops: Indices = np.argsort(~held, axis=1, kind='stable')[:, :max_held]
        return drops

    def _load_changes(self) -> Floats:
        """Return the change of each rank's load by kind of step.

        The kinds are: copy (with or without a drop), move (with or without a
        drop), and swap.
        """
        copy_changes, move_changes = self._transfer_changes()
        drop_changes, swap_changes = self._drop_changes()
        return np.stack(
            [
                copy_changes[:, :, None] + drop_changes[None],
                move_changes[:, :, None] + drop_changes[None],
                move_changes[:, :, None] + swap_changes[None],
            ]
        )

    def _transfer_changes(self) -> tuple[Floats, Floats]:
        """Return the changes of load by a copy and by a move of an expert."""
        loads = self._loads[self._experts]
        copies = self._copies[self._experts]
        rows = np.arange(len(self._targets))
        relief = loads / (copies + 1) - loads / copies
        holders = self._affected_held[:, self._experts].T * relief[:, None]
        copy_changes = np.repeat(holders[:, None], len(rows), axis=1)
        copy_changes[:, rows, self._affected_targets] = (loads / (copies + 1))[
            :, None
        ]
        move_changes = np.zeros_like(copy_changes)
        move_changes[:, :, self._affected_hot] = -(loads / copies)[:, None]
        move_changes[:, rows, self._affected_targets] = (loads / copies)[
            :, None
        ]
        return copy_changes, move_changes

    def _drop_changes(self) -> tuple[Floats, Floats]:
        """Return the changes of load by a drop and by the return in a swap."""
        copies = self._copies[self._drops]
        loads = self._loads[self._drops]
        rows = np.arange(len(self._targets))
        added_load = loads / np.maximum(1, copies - 1) - loads / copies
        holders = np.moveaxis(self._affected_held[:, self._drops], 0, -1)
        drop_changes = holders * added_load[..., None]
        drop_changes[rows, :, self._affected_targets] = -(loads / copies)
        swap_changes = np.zeros_like(drop_changes)
        swap_changes[rows, :, self._affected_targets] = -(loads / copies)
        swap_changes[:, :, self._affected_hot] = loads / copies
        return _prepend_no_drop(drop_changes), _prepend_no_drop(swap_changes)

    def _is_allowed(self, may_fetch_more: Flags, slots: int) -> Flags:
        can_take = self._before | may_fetch_more[:, None]
        new = can_take[self._targets] & ~self._held[self._targets]
        transferable = new[:, self._experts].T[:, :, None]
        allowed: Flags = (
            transferable & self._droppable(can_take, slots)[:, None]
        )
        return allowed

    def _droppable(self, can_take: Flags, slots: int) -> Flags:
        """Return by kind of step which experts each target may drop."""
        counts = self._held[self._targets].sum(axis=1)
        has_room = (counts < slots)[:, None]
        droppable = self._is_drop & (self._copies[self._drops] > 1)
        returnable = can_take[self._hot] & ~self._held[self._hot]
        swaps = self._is_drop & returnable[self._drops]
        dropping = np.concatenate([has_room, droppable], axis=1)
        swapping = _prepend_no_drop(swaps)
        return np.stack([dropping, dropping, swapping])

    def _costs(self) -> Floats:
        """Return the number of experts that each step loads, bounded below."""
        fetched = ~self._before[self._targets][:, self._experts].T
        returned = ~self._before[self._hot][self._drops]
        returns = _prepend_no_drop(returned).astype(float)
        returns_by_kind = np.stack(
            [np.zeros_like(returns), np.zeros_like(returns), returns]
        )
        costs: Floats = fetched[None, :, :, None] + returns_by_kind[:, None]
        return costs.clip(min=_MIN_COST)


def _norm_terms(heat: Floats) -> Floats:
    """Return the eighth powers of the heat.

    Repeated squaring takes 3 us; the power operator takes 8 us.
    """
    squares = heat * heat
    fourths = squares * squares
    return fourths * fourths


def _prepend_no_drop(changes: NDArray[Any]) -> NDArray[Any]:
    """Insert an entry of zeros for the step that drops nothing."""
    return np.concatenate([np.zeros_like(changes[:, :1]), changes], axis=1)
