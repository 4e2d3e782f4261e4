"""Scores an upstream for one request, and bounds its load."""

from __future__ import annotations

from typing import NamedTuple


class ScoringRules(NamedTuple):
    """Weights and bounds, all in units of utilisation (1: limit reached).

    ``choices`` upstreams are sampled from the local data centre and from all
    remote ones (power of d choices, Mitzenmacher 2001); up to ``scan``
    candidates are all compared instead. ``locality`` is the value of a fully
    cached prompt. An upstream that holds the prefix is chosen only up to
    ``guard_ratio`` times the least utilisation sampled plus ``guard_slack``,
    and up to ``guard_cap``. ``remote`` is the cost of leaving the data centre.
    """

    choices: int = 2
    scan: int = 0
    locality: float = 2
    guard_ratio: float = 1.25
    guard_slack: float = 0.25
    guard_cap: float = 1.2
    remote: float = 0.25

    def load_bound(self, least: float) -> float:
        """Return the highest utilisation at which a cached prefix may decide.

        Waiting for a prefix holder far above its limit never pays off while
        another upstream is less loaded.
        """
        bound = self.guard_ratio * least + self.guard_slack
        return max(least, min(bound, self.guard_cap))

    def score(self, utilisation: float, cached_share: float) -> float:
        """Return the score; the lowest is best."""
        return utilisation - self.locality * cached_share
