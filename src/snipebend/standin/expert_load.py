"""Synthetic expert loads: Zipf-like popularity that drifts over the steps."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np
from msgspec import Struct

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.standin.settings import EngineConfig

#: The share of the expert at popularity rank r is proportional to r**-0.8.
ZIPF_EXPONENT = 0.8


class ExpertLoad(Struct, frozen=True):
    """Tokens per layer and expert since the previous call, up to a step."""

    step: int
    counts: list[list[int]]


class ExpertLoadCounter:
    """Counts tokens and distributes them over the experts when collected."""

    def __init__(self, cfg: EngineConfig) -> None:
        """Create a counter at zero; equal seeds give equal popularity."""
        self._cfg = cfg
        self._rng = np.random.default_rng(cfg.seed)
        self._tokens = 0
        ranks = np.arange(1, cfg.experts + 1)
        weights = 1 / ranks**ZIPF_EXPONENT
        self._shares = weights / weights.sum()

    def add_tokens(self, count: int) -> None:
        """Count the tokens of one step."""
        self._tokens += count

    def compute_popularity(self, step: int) -> NDArray[np.float64]:
        """Return each expert's share of tokens as layers by experts.

        The shares are interpolated between two random permutations; after
        ``drift_steps`` the second has replaced the first, and the
        interpolation to the next permutation begins.
        """
        period, offset = divmod(step, self._cfg.drift_steps)
        weight = offset / self._cfg.drift_steps
        before = self._shuffle_shares(period)
        after = self._shuffle_shares(period + 1)
        return before * (1 - weight) + after * weight

    def collect(self, step: int) -> ExpertLoad:
        """Return the counts since the previous call and reset them."""
        picks = self._tokens * self._cfg.experts_per_token
        self._tokens = 0
        counts = self._rng.multinomial(picks, self.compute_popularity(step))
        return ExpertLoad(step, counts.tolist())

    def _shuffle_shares(self, period: int) -> NDArray[np.float64]:
        rng = np.random.default_rng((self._cfg.seed, period))
        rows = [rng.permutation(self._shares) for _ in range(self._cfg.layers)]
        return np.array(rows)
