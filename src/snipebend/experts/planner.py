"""Plans one change of map for one outlook on the load.

An outlook is a way to estimate the load to come. Each planner learns how far
its own predictions can be trusted, and what its placements were made for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from snipebend.experts.drift import DriftGate
from snipebend.experts.moves import choose_rounds, replay
from snipebend.experts.search import SearchLimits, search
from snipebend.experts.significance import significant_gains
from snipebend.experts.skew import relative_loads
from snipebend.experts.trials import TrialBook

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.estimate import LoadEstimate

#: Plans are made, and put to trial, as if trust were at least this much.
_LEAST_TRUST = 0.1


class PolicySettings(NamedTuple):
    """Constants of the decisions.

    ``horizon_steps`` is the longest that a gain is counted on to last.
    ``drift_limit`` is the excess, in standard deviations, that counts as
    drift of a layer's popularity. A layer's gain must exceed ``noise_limit``
    of its own standard deviations after drift, and ``steady_limit`` without:
    the search picks the best of thousands of changes, whose largest error of
    pure noise lies near four. ``load_window_s`` is the time within which a
    change must be loaded, ``stale_steps`` the age past which reports aren't
    acted on and ``rounds`` the most changes tried in a layer.
    """

    horizon_steps: int = 30000
    drift_limit: float = 8.0
    noise_limit: float = 1.0
    steady_limit: float = 8.0
    load_window_s: float = 30.0
    stale_steps: int = 12000
    rounds: int = 256


class Plan(NamedTuple):
    """A placement with its expected gain in step skew and slots to load.

    ``lifetime`` is the number of steps that the gain is expected to last.
    """

    placement: NDArray[np.int16]
    gain: float
    loads: int
    lifetime: float


class Prices(NamedTuple):
    """What limits a plan.

    ``load_price`` is the gain in step skew, times the steps that it lasts,
    that a load must bring; ``max_loads`` bounds the slots loaded.
    """

    load_price: float
    max_loads: int


class Planner:
    """Makes plans for one outlook."""

    def __init__(self, ranks: int, settings: PolicySettings) -> None:
        """Start without experience."""
        self._ranks = ranks
        self._settings = settings
        self._trials = TrialBook(settings.horizon_steps)
        self._drift = DriftGate(settings.drift_limit)

    @property
    def trust(self) -> float:
        """The share of this planner's predicted gains that came."""
        return self._trials.trust

    def learn(self, estimate: LoadEstimate) -> None:
        """Score earlier plans against the recent load."""
        recent = relative_loads(estimate.recent, self._ranks)
        self._trials.score(recent, estimate.step)

    def plan(
        self,
        estimate: LoadEstimate,
        before: NDArray[np.int16],
        prices: Prices,
    ) -> Plan:
        """Search, keep what gains most per load, drop what may be noise."""
        loads = relative_loads(estimate.shares, self._ranks)
        min_gain = self._min_gain(prices, len(before))
        limits = SearchLimits(min_gain, self._settings.rounds)
        trail = search(before, loads, limits)
        rounds = choose_rounds(trail, min_gain, prices.max_loads)
        gains = significant_gains(
            before,
            replay(before, trail, rounds),
            estimate,
            self._limits(estimate),
        )
        after = replay(before, trail, np.where(gains > 0, rounds, 0))
        gain = float(gains.mean())
        self._trials.open(before, after, gain, estimate.step)
        loaded = int((after != before).sum())
        return Plan(after, gain, loaded, self._lifetime(self.trust))

    def rebase(
        self,
        layers: NDArray[np.bool_],
        estimate: LoadEstimate,
    ) -> None:
        """Note that the placement of some layers was made for this load."""
        self._drift.rebase(layers, estimate)

    def _lifetime(self, trust: float) -> float:
        return self._settings.horizon_steps * trust

    def _min_gain(self, prices: Prices, layers: int) -> float:
        """Least gain in one layer's skew that pays for loading one expert."""
        lifetime = self._lifetime(max(self.trust, _LEAST_TRUST))
        return prices.load_price * layers / lifetime

    def _limits(self, estimate: LoadEstimate) -> NDArray[np.float64]:
        """Return how far each layer's gain must stand clear of noise."""
        return np.where(
            self._drift.drifted(estimate),
            self._settings.noise_limit,
            self._settings.steady_limit,
        )
