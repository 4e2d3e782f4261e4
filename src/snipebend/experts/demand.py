"""The demand for experts, told from how counts grow (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Mapping

    from numpy.typing import NDArray

    from snipebend.experts.direct_orders import RankCounts

    Counts = NDArray[np.float64]

#: Choices of one layer below which a span of counts says nothing. A rank that
#: only writes makes some 1,700 in 0.3 s, and spans of as many differed by 6%
#: while the demand was the same.
LEAST_CHOICES = 600

#: Share of the choices that moves at the least when demand turns, beside what
#: chance moves. On two days of a group of 192 ranks 16 spans after a turn moved
#: 0.13 to 0.19, 13 others up to 0.085, since requests of one time are alike;
#: half of all choices, or a fifth, on other deployments. Told by one and a half
#: times of what chance moves, one turn was missed where choices were few, and
#: five other spans were taken for turns where they were many.
LEAST_TURN = 0.1

#: Weight of earlier spans when one is added.
KEEP = 0.9


class Demand:
    """The shares of choices that fall on each expert, layer by layer."""

    def __init__(self, layers: int, experts: int) -> None:
        """Start without knowing any."""
        self._shape = (layers, experts)
        #: The counts at which the present span began, by rank.
        self._begun: dict[int, RankCounts] = {}
        #: Choices since the demand last turned; none: it isn't known.
        self._chosen: Counts | None = None
        #: Whether the last span had enough choices to tell something.
        self.told = False
        #: Whether what is known began with the last span that told something.
        self.is_fresh = False

    @property
    def shares(self) -> Counts | None:
        """Return the shares by layer and expert; none: not known."""
        return None if self._chosen is None else _shares(self._chosen)

    @property
    def chosen(self) -> Counts | None:
        """Return the choices that tell the demand; none: not known."""
        return self._chosen

    def begin(self, read: Mapping[int, RankCounts]) -> None:
        """Begin a span on the ranks that were read."""
        self._begun = dict(read)

    def end(self, read: Mapping[int, RankCounts], *, is_new: bool) -> None:
        """Take over what was chosen since the span began; begin another.

        ``is_new`` tells that demand may have turned before the span, but not
        within it. Otherwise a span that differs holds some of both demands and
        tells neither; the next one is taken as it is.

        A span with too few choices goes on, and tells nothing yet: begun anew,
        it would have as few each time, and groups of many ranks, whose single
        ranks have few requests, would keep their map whatever is in demand.
        """
        spans = {
            rank: grown
            for rank, counts in read.items()
            if (grown := self._growth(rank, counts)) is not None
        }
        chosen = sum(spans.values(), np.zeros(self._shape))
        self.told = chosen.sum(axis=1).min() >= LEAST_CHOICES
        if self.told:
            self._note_span(chosen, is_new=is_new)
            self.begin(read)
        else:
            begun = {rank: self._begun[rank] for rank in spans}
            self.begin({**read, **begun})

    def _growth(self, rank: int, counts: RankCounts) -> Counts | None:
        """Return a rank's choices in the span; none: it made no pass."""
        begun = self._begun.get(rank)
        if begun is None or counts.epoch != begun.epoch:
            return None
        layers, experts = self._shape
        if not len(counts.counts) == len(begun.counts) == layers * experts:
            # Not what the document declares: it tells nothing.
            return None
        grown = np.array(counts.counts, dtype=float) - np.array(begun.counts)
        if counts.step <= begun.step or grown.min() < 0:
            return None
        by_layer: Counts = grown.reshape(self._shape)
        return by_layer

    def _note_span(self, span: Counts, *, is_new: bool) -> None:
        self.is_fresh = self._chosen is None
        if self._chosen is None:
            self._chosen = span
            return
        if _has_turned(self._chosen, span):
            self._chosen = span if is_new else None
            self.is_fresh = True
        else:
            self._chosen = KEEP * self._chosen + span


def _has_turned(before: Counts, span: Counts) -> bool:
    """Tell whether two spans differ by more than chance has them differ.

    Half of the summed differences of shares moves by either; what a turn and
    chance move adds up by its squares, as variances do.
    """
    moved = np.abs(_shares(before) - _shares(span)).sum(axis=1).mean() / 2
    shares = _shares(before + span)
    rate = (1 / before.sum(axis=1) + 1 / span.sum(axis=1)).mean()
    chance = np.sqrt(shares).sum(axis=1).mean() * np.sqrt(rate / (2 * np.pi))
    return bool(np.hypot(chance, LEAST_TURN) < moved)


def _shares(counts: Counts) -> Counts:
    shares: Counts = counts / counts.sum(axis=1, keepdims=True)
    return shares
