"""Estimation of the demand for experts from growing counts; no I/O.

Each rank counts how often its requests chose each expert. The choices between
two readings of the counts form a span. A span that differs from the earlier
ones by more than chance shows that demand has shifted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Mapping

    from numpy.typing import NDArray

    from snipebend.experts.direct_orders import RankCounts

    Counts = NDArray[np.float64]

#: Choices of one layer below which a span is inconclusive. A rank that only
#: decodes makes some 1,700 in 0.3 s, and spans with this many choices differed
#: by 6% while the demand was the same.
MIN_CHOICES = 600

#: Smallest difference between two spans that counts as a shift of demand, as a
#: share of the choices, in addition to the difference that chance explains. On
#: two simulated days of a group of 192 ranks, 16 spans after a shift differed
#: by 0.13 to 0.19, and 13 other spans by up to 0.085, since requests of one
#: period are alike. On other deployments a shift moved half or a fifth of all
#: choices. A threshold of 1.5 times the difference by chance missed one shift
#: where choices were few, and took five other spans for shifts where choices
#: were many.
MIN_SHIFT = 0.1

#: Weight of the earlier spans when a span is added.
HISTORY_WEIGHT = 0.9


class Demand:
    """Estimate of the share of choices of each expert, by layer."""

    def __init__(self, layers: int, experts: int) -> None:
        """Create an estimate of unknown demand, for maps of this size."""
        self._shape = (layers, experts)
        #: Counts at the start of the current span, by rank.
        self._baseline: dict[int, RankCounts] = {}
        #: Choices since the last shift of demand; None if the demand is
        #: unknown.
        self._choices: Counts | None = None
        #: Whether the last span had enough choices to be conclusive.
        self.is_conclusive = False
        #: Whether the estimate was restarted with the last conclusive span.
        self.is_restarted = False

    @property
    def shares(self) -> Counts | None:
        """Return the shares by layer and expert; None if unknown."""
        return None if self._choices is None else _shares(self._choices)

    @property
    def choices(self) -> Counts | None:
        """Return the choices behind the estimate; None if unknown."""
        return self._choices

    def begin(self, counts_by_rank: Mapping[int, RankCounts]) -> None:
        """Begin a span with the current counts of some ranks."""
        self._baseline = dict(counts_by_rank)

    def end(
        self, counts_by_rank: Mapping[int, RankCounts], *, is_unmixed: bool
    ) -> None:
        """Add the choices of the span that ends; begin another one.

        ``is_unmixed`` states that demand may have shifted before the span, but
        not within it. Otherwise a span that differs is a mix of the old and the
        new demand and is representative of neither; it is discarded, and the
        next span restarts the estimate.

        A span with too few choices is continued instead of restarted. Otherwise
        each new span would have as few choices again, and groups of many ranks,
        whose single ranks have few requests, would keep their map however
        demand changes.
        """
        growths = {
            rank: growth
            for rank, counts in counts_by_rank.items()
            if (growth := self._count_growth(rank, counts)) is not None
        }
        span_choices = sum(growths.values(), np.zeros(self._shape))
        self.is_conclusive = span_choices.sum(axis=1).min() >= MIN_CHOICES
        if self.is_conclusive:
            self._record_span(span_choices, is_unmixed=is_unmixed)
            self.begin(counts_by_rank)
        else:
            baseline = {rank: self._baseline[rank] for rank in growths}
            self.begin({**counts_by_rank, **baseline})

    def _count_growth(self, rank: int, counts: RankCounts) -> Counts | None:
        """Return a rank's choices in the span; None if it made no pass."""
        baseline = self._baseline.get(rank)
        if baseline is None or counts.epoch != baseline.epoch:
            return None
        layers, experts = self._shape
        if not len(counts.counts) == len(baseline.counts) == layers * experts:
            # The counts don't match the sizes that the configuration declares.
            return None
        growth = np.array(counts.counts, dtype=float) - np.array(
            baseline.counts
        )
        if counts.step <= baseline.step or growth.min() < 0:
            return None
        by_layer: Counts = growth.reshape(self._shape)
        return by_layer

    def _record_span(self, span: Counts, *, is_unmixed: bool) -> None:
        self.is_restarted = self._choices is None
        if self._choices is None:
            self._choices = span
            return
        if _has_shifted(self._choices, span):
            self._choices = span if is_unmixed else None
            self.is_restarted = True
        else:
            self._choices = HISTORY_WEIGHT * self._choices + span


def _has_shifted(before: Counts, span: Counts) -> bool:
    """Return whether two spans differ by more than chance explains.

    The difference is half of the summed absolute differences of the shares. The
    differences by a shift and by chance add up in quadrature, as standard
    deviations do.
    """
    difference = np.abs(_shares(before) - _shares(span)).sum(axis=1).mean() / 2
    shares = _shares(before + span)
    rate = (1 / before.sum(axis=1) + 1 / span.sum(axis=1)).mean()
    chance = np.sqrt(shares).sum(axis=1).mean() * np.sqrt(rate / (2 * np.pi))
    return bool(np.hypot(chance, MIN_SHIFT) < difference)


def _shares(counts: Counts) -> Counts:
    shares: Counts = counts / counts.sum(axis=1, keepdims=True)
    return shares
