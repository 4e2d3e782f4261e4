"""One layer of a map while a search changes it (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Experts by rank: one layer of a map.
LayerMap = tuple[tuple[int, ...], ...]

StepKind = Literal['copy', 'move', 'swap']


class LayerStep(NamedTuple):
    """Give the hot rank's expert to a target, which may drop one for it.

    After a move or a swap the hot rank no longer holds the expert; in a swap
    it gets the dropped one.
    """

    hot: int
    expert: int
    target: int
    dropped: int | None
    kind: StepKind

    @property
    def returned(self) -> int | None:
        """Return the expert that the hot rank gets."""
        return self.dropped if self.kind == 'swap' else None


class LayerState:
    """Who holds what, and each rank's load; the mean load is 1.

    A rank that works slowly counts its load that many times over.
    """

    def __init__(
        self,
        layer: LayerMap,
        loads: Sequence[float],
        paces: Sequence[float] = (),
    ) -> None:
        """Start with a map, the experts' loads and the ranks' slowness."""
        self._paces = paces or (1,) * len(layer)
        self.held = [set(held) for held in layer]
        self.holders: list[set[int]] = [set() for _ in loads]
        self._loads = loads
        for rank, held in enumerate(self.held):
            for expert in held:
                self.holders[expert].add(rank)
        self.heat = [
            pace * sum(loads[one] / len(self.holders[one]) for one in mine)
            for pace, mine in zip(self._paces, self.held, strict=True)
        ]

    @property
    def skew(self) -> float:
        """Return the load of the hottest rank."""
        return max(self.heat)

    @property
    def layer(self) -> LayerMap:
        """Return the map."""
        return tuple(tuple(sorted(held)) for held in self.held)

    def changes(self, step: LayerStep) -> dict[int, float]:
        """Return by how much a step changes each rank's load."""
        change: dict[int, float] = {}
        gone = set() if step.kind == 'copy' else {step.hot}
        self._shift(change, step.expert, {step.target}, gone)
        if step.dropped is not None:
            back = set() if step.returned is None else {step.hot}
            self._shift(change, step.dropped, back, {step.target})
        return change

    def apply(self, step: LayerStep) -> None:
        """Carry a step out."""
        changes = self.changes(step)
        self._give(step.expert, step.target)
        if step.kind != 'copy':
            self._take(step.expert, step.hot)
        if step.dropped is not None:
            self._take(step.dropped, step.target)
        if step.returned is not None:
            self._give(step.returned, step.hot)
        for rank, delta in changes.items():
            self.heat[rank] += delta

    def _shift(
        self,
        change: dict[int, float],
        expert: int,
        added: set[int],
        gone: set[int],
    ) -> None:
        old = self.holders[expert]
        new = (old - gone) | added
        load = self._loads[expert]
        for rank in old:
            part = self._paces[rank] * load / len(old)
            change[rank] = change.get(rank, 0) - part
        for rank in new:
            part = self._paces[rank] * load / len(new)
            change[rank] = change.get(rank, 0) + part

    def _give(self, expert: int, rank: int) -> None:
        self.held[rank].add(expert)
        self.holders[expert].add(rank)

    def _take(self, expert: int, rank: int) -> None:
        self.held[rank].discard(expert)
        self.holders[expert].discard(rank)


def layer_skew(
    layer: LayerMap, loads: Sequence[float], paces: Sequence[float] = ()
) -> float:
    """Return the load of the hottest rank; the mean is 1."""
    return LayerState(layer, loads, paces).skew
