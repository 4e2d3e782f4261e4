"""The score of an upstream for one request, and the guard of its load."""

from __future__ import annotations

from typing import NamedTuple


class ScoringRules(NamedTuple):
    """Weights and bounds, all in units of utilisation (1: limit reached).

    ``choices`` upstreams are drawn (power of d choices, Mitzenmacher 2001);
    up to ``scan`` candidates are all looked at instead. ``locality`` is what
    a wholly cached prompt is worth; a holder of the prefix is taken only
    below ``guard_ratio`` times the least loaded one drawn, plus
    ``guard_slack``. ``remote`` is what leaving the data centre costs and
    ``lane`` what the upstreams set aside for suspects do.
    """

    choices: int = 2
    scan: int = 0
    locality: float = 0.5
    guard_ratio: float = 1.25
    guard_slack: float = 0.25
    remote: float = 0.25
    lane: float = 0.5
    ring: bool = True

    def guard(self, least: float) -> float:
        """Return the utilisation up to which locality may decide."""
        return self.guard_ratio * least + self.guard_slack

    def score(self, utilisation: float, cached_share: float) -> float:
        """Return the score: the least is best."""
        return utilisation - self.locality * cached_share
