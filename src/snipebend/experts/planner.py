"""Planning of one change of the map for one kind of load estimate.

The load to come is estimated from current or from long-run reports. Each
planner tracks how reliable its own predictions are, and for which load its
placements were made.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

from snipebend.experts.drift import DriftDetector
from snipebend.experts.moves import choose_rounds, replay
from snipebend.experts.prediction_tracker import PredictionTracker
from snipebend.experts.search import SearchLimits, search
from snipebend.experts.significance import significant_gains
from snipebend.experts.skew import relative_loads

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.estimate import LoadEstimate

#: Plans are made, and recorded as predictions, as if trust were at least this
#: much.
_MIN_TRUST = 0.1


class PolicySettings(NamedTuple):
    """Parameters of the decisions.

    ``horizon_steps`` is the longest time for which a gain is expected to last.
    ``drift_limit`` is the excess, in standard deviations, that counts as drift
    of a layer's popularity. A layer's gain must exceed ``noise_limit`` of its
    own standard deviations after drift, and ``steady_limit`` without: the
    search picks the best of thousands of changes, whose largest error by pure
    noise is near four. ``load_window_s`` is the time within which a change must
    be loaded, ``stale_steps`` the age above which reports are not used and
    ``rounds`` the largest number of changes tried in a layer.
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

    ``lifetime`` is the number of steps for which the gain is expected to last.
    """

    placement: NDArray[np.int16]
    gain: float
    loads: int
    lifetime: float


class PlanLimits(NamedTuple):
    """Limits of a plan.

    ``load_price`` is the smallest gain in step skew, times the steps for which
    it lasts, that a load must bring; ``max_loads`` limits the slots loaded.
    """

    load_price: float
    max_loads: int


class Planner:
    """Makes plans for one kind of load estimate."""

    def __init__(self, ranks: int, settings: PolicySettings) -> None:
        """Create a planner for a group of the given number of ranks."""
        self._ranks = ranks
        self._settings = settings
        self._tracker = PredictionTracker(settings.horizon_steps)
        self._drift = DriftDetector(settings.drift_limit)

    @property
    def trust(self) -> float:
        """Return the share of the predicted gains that was realised."""
        return self._tracker.trust

    def learn(self, estimate: LoadEstimate) -> None:
        """Score earlier predictions against the recent load."""
        recent = relative_loads(estimate.recent, self._ranks)
        self._tracker.score(recent, estimate.step)

    def plan(
        self,
        estimate: LoadEstimate,
        before: NDArray[np.int16],
        plan_limits: PlanLimits,
    ) -> Plan:
        """Return the changes that gain most per load and exceed the noise."""
        loads = relative_loads(estimate.shares, self._ranks)
        min_gain = self._min_gain(plan_limits, len(before))
        limits = SearchLimits(min_gain, self._settings.rounds)
        trace = search(before, loads, limits)
        rounds = choose_rounds(trace, min_gain, plan_limits.max_loads)
        gains = significant_gains(
            before,
            replay(before, trace, rounds),
            estimate,
            self._noise_limits(estimate),
        )
        after = replay(before, trace, np.where(gains > 0, rounds, 0))
        gain = float(gains.mean())
        self._tracker.add(before, after, gain, estimate.step)
        loaded = int((after != before).sum())
        return Plan(after, gain, loaded, self._lifetime(self.trust))

    def rebase(
        self,
        layers: NDArray[np.bool_],
        estimate: LoadEstimate,
    ) -> None:
        """Record that the placement of some layers was made for this load."""
        self._drift.rebase(layers, estimate)

    def _lifetime(self, trust: float) -> float:
        return self._settings.horizon_steps * trust

    def _min_gain(self, plan_limits: PlanLimits, layers: int) -> float:
        """Return the smallest gain in a layer's skew that pays for one load."""
        lifetime = self._lifetime(max(self.trust, _MIN_TRUST))
        return plan_limits.load_price * layers / lifetime

    def _noise_limits(self, estimate: LoadEstimate) -> NDArray[np.float64]:
        """Return each layer's significance limit in standard deviations."""
        return np.where(
            self._drift.find_drifted_layers(estimate),
            self._settings.noise_limit,
            self._settings.steady_limit,
        )
