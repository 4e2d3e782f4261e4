"""Made-up expert loads: Zipf-like popularity that drifts with the step."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np
from msgspec import Struct

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.standin.settings import EngineConfig

ZIPF_EXPONENT = 0.8


class ExpertLoad(Struct, frozen=True):
    """Tokens for each layer and expert since the last call, at a step."""

    step: int
    counts: list[list[int]]


class ExpertMeter:
    """Counts tokens and spreads them over the experts when asked."""

    def __init__(self, cfg: EngineConfig) -> None:
        """Start with no token; equal seeds give equal popularity."""
        self._cfg = cfg
        self._rng = np.random.default_rng(cfg.seed)
        self._tokens = 0
        ranks = np.arange(1, cfg.experts + 1)
        weights = 1 / ranks**ZIPF_EXPONENT
        self._shares = weights / weights.sum()

    def add_tokens(self, count: int) -> None:
        """Count tokens of one step."""
        self._tokens += count

    def popularity(self, step: int) -> NDArray[np.float64]:
        """Return each expert's share of tokens, layers by experts.

        Two random orders of the same shares are mixed; after ``drift_steps``
        the second has fully replaced the first, and the next one sets in.
        """
        era, offset = divmod(step, self._cfg.drift_steps)
        weight = offset / self._cfg.drift_steps
        before = self._draw_shares(era)
        after = self._draw_shares(era + 1)
        return before * (1 - weight) + after * weight

    def take(self, step: int) -> ExpertLoad:
        """Return the counts since the last call and start over."""
        picks = self._tokens * self._cfg.experts_per_token
        self._tokens = 0
        counts = self._rng.multinomial(picks, self.popularity(step))
        return ExpertLoad(step, counts.tolist())

    def _draw_shares(self, era: int) -> NDArray[np.float64]:
        rng = np.random.default_rng((self._cfg.seed, era))
        rows = [rng.permutation(self._shares) for _ in range(self._cfg.layers)]
        return np.array(rows)
