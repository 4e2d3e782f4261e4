"""The score of an upstream for one request, and the guard of its load."""

from __future__ import annotations

from typing import NamedTuple


class ScoringRules(NamedTuple):
    """Weights and bounds, all in units of utilisation (1: limit reached).

    ``choices`` upstreams are drawn in each data centre (power of d choices,
    Mitzenmacher 2001); up to ``scan`` candidates are all looked at instead.
    ``locality`` is what a wholly cached prompt is worth. A holder of the
    prefix is taken only below ``guard_ratio`` times the least utilisation
    drawn plus ``guard_slack``, and below ``guard_cap``. ``remote`` is what
    leaving the data centre costs.
    """

    choices: int = 2
    scan: int = 0
    locality: float = 2
    guard_ratio: float = 1.25
    guard_slack: float = 0.25
    guard_cap: float = 1.2
    remote: float = 0.25

    def guard(self, least: float) -> float:
        """Return the utilisation up to which locality may decide.

        A holder well past its limit is never worth the wait while another
        is less loaded.
        """
        bound = self.guard_ratio * least + self.guard_slack
        return max(least, min(bound, self.guard_cap))

    def score(self, utilisation: float, cached_share: float) -> float:
        """Return the score: the least is best."""
        return utilisation - self.locality * cached_share
