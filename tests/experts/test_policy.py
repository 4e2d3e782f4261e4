"""Prevents map changes that cost more than they gain.

Noise, alternating load and stale or missing reports suggest gains that do not
last. Loading experts for them takes capacity from requests, and bandwidth of
the weight store from other groups.
"""

from __future__ import annotations

import unittest

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.experts.cost import CostModel, StoreBudget
from snipebend.experts.estimate import LoadEstimator
from snipebend.experts.model import ExpertMap, check_map
from snipebend.experts.placement import place_from_scratch
from snipebend.experts.planner import PolicySettings
from snipebend.experts.policy import (
    Change,
    Decision,
    DecisionContext,
    Keep,
    Policy,
)
from snipebend.experts.skew import relative_loads
from snipebend.fleet.model import Weights
from tests.experts.loads import (
    INTERVAL_STEPS,
    SHAPE,
    record_reports,
    zipf_shares,
)

STORE = StoreBudget(bytes_per_s=10_000)
SKEW_FIRST = Weights(skew=0.8, cost=0.2)
COST_FIRST = Weights(skew=0.3, cost=0.7)
SHORT_HORIZON = PolicySettings(
    horizon_steps=5 * INTERVAL_STEPS, load_window_s=4
)


class _Group:
    """One group whose policy decides once per interval."""

    def __init__(
        self,
        weights: Weights = SKEW_FIRST,
        store: StoreBudget = STORE,
        hold_steps: int = 0,
    ) -> None:
        loads = relative_loads(zipf_shares(SHAPE, 1), SHAPE.ranks)
        self.expert_map = place_from_scratch(SHAPE, loads, 1)
        self.estimator = LoadEstimator(SHAPE, INTERVAL_STEPS)
        self.policy = Policy(
            SHAPE,
            weights,
            CostModel(),
            hold_steps=hold_steps,
            settings=SHORT_HORIZON,
        )
        self.context = DecisionContext(0, -INTERVAL_STEPS, 0.5, store)

    def receive_reports(self, shares: np.ndarray, seed: int = 0) -> None:
        step = self.context.step + INTERVAL_STEPS
        self.context = self.context._replace(step=step)
        record_reports(self.estimator, SHAPE, shares, step, seed)

    def decide(self) -> Decision:
        now = self.context.step / 20
        decision = self.policy.decide(
            self.estimator.estimate(),
            self.expert_map,
            self.context,
            now,
        )
        if isinstance(decision, Change):
            self._apply_change(decision, now)
        return decision

    def _apply_change(self, change: Change, now: float) -> None:
        check_map(SHAPE, change.expert_map).unwrap()
        assert change.load_bytes == len(change.moves) * SHAPE.expert_bytes
        assert change.store.free_at <= now + SHORT_HORIZON.load_window_s + 1e-6
        before = self.expert_map
        version = before.version + 1
        assert before.apply_moves(change.moves, version) == change.expert_map
        self.expert_map = change.expert_map
        self.context = self.context._replace(
            store=change.store,
            changed_at_step=self.context.step,
        )


def _drifted(drift_share: float) -> np.ndarray:
    return (
        zipf_shares(SHAPE, 1) * (1 - drift_share)
        + zipf_shares(SHAPE, 2) * drift_share
    )


class PolicyTest(unittest.TestCase):
    """Decisions under steady, drifting and alternating load."""

    def test_no_move_without_drift(self) -> None:
        for weights in (SKEW_FIRST, COST_FIRST):
            group = _Group(weights)
            for interval in range(60):
                group.receive_reports(zipf_shares(SHAPE, 1), seed=interval)
                self.assertIsInstance(group.decide(), Keep)

    def test_drift_is_followed_and_a_higher_skew_weight_loads_more(
        self,
    ) -> None:
        loaded = {}
        for weights in (SKEW_FIRST, COST_FIRST):
            group = _Group(weights, StoreBudget(1_000))
            decisions = []
            for drift_share in np.linspace(0, 1, 20):
                group.receive_reports(_drifted(drift_share))
                decisions.append(group.decide())
            changes = [one for one in decisions if isinstance(one, Change)]
            loaded[weights] = sum(one.load_bytes for one in changes)
            self.assertGreater(len(changes), 3)
            self.assertTrue(all(one.gain > 0 for one in changes))
        self.assertGreater(loaded[SKEW_FIRST], loaded[COST_FIRST])

    @given(
        st.integers(0, 1000),
        st.floats(0, 1.2),
        st.floats(0, 8),
        st.sampled_from((200, 2_000, 50_000)),
    )
    @settings(derandomize=True, deadline=None, max_examples=60)
    def test_changes_are_valid_and_within_the_store_budget(
        self, seed, utilisation, busy_s, rate
    ) -> None:
        group = _Group(store=StoreBudget(rate, free_at=50 + busy_s))
        group.context = group.context._replace(utilisation=utilisation)
        group.receive_reports(zipf_shares(SHAPE, seed), seed=seed)
        decision = group.decide()
        if isinstance(decision, Change):
            seconds = SHORT_HORIZON.load_window_s - busy_s
            self.assertLessEqual(decision.load_bytes, rate * seconds + 1e-6)
            self.assertLess(utilisation, 0.9)

    def test_groups_share_the_store_budget(self) -> None:
        first, second = _Group(), _Group()
        for group in (first, second):
            group.receive_reports(_drifted(1))
        change = first.decide()
        assert isinstance(change, Change)
        booked = StoreBudget(STORE.bytes_per_s, free_at=INTERVAL_STEPS / 20 + 4)
        second.context = second.context._replace(store=booked)
        self.assertEqual(second.decide(), Keep('store-budget'))

    def test_serving_has_priority_over_loading(self) -> None:
        group = _Group()
        group.receive_reports(_drifted(1))
        group.context = group.context._replace(utilisation=0.95)
        self.assertEqual(group.decide(), Keep('serving-needs-capacity'))
        group.context = group.context._replace(utilisation=0.85)
        change = group.decide()
        assert isinstance(change, Change)
        self.assertAlmostEqual(change.bytes_per_s, 0.25 * STORE.bytes_per_s)

    def test_reasons_to_keep_the_map(self) -> None:
        group = _Group(hold_steps=2 * INTERVAL_STEPS)
        self.assertEqual(group.decide(), Keep('no-reports'))
        group.receive_reports(_drifted(1))
        group.context = group.context._replace(changed_at_step=0)
        self.assertEqual(group.decide(), Keep('hold-steps'))
        late = SHORT_HORIZON.stale_steps + INTERVAL_STEPS + 1
        group.context = group.context._replace(step=late)
        self.assertEqual(group.decide(), Keep('stale-reports'))

    def test_a_change_that_will_not_pay_back_is_not_made(self) -> None:
        group = _Group(store=StoreBudget(500))
        group.policy = Policy(
            SHAPE,
            COST_FIRST,
            CostModel(stall_steps=1e6),
            settings=SHORT_HORIZON,
        )
        group.receive_reports(_drifted(0.5))
        self.assertEqual(group.decide(), Keep('will-not-pay-back'))

    def test_alternating_load_reduces_moves(self) -> None:
        moved = []
        group = _Group()
        for interval in range(48):
            group.receive_reports(_drifted(interval // 2 % 2), seed=interval)
            before = group.expert_map
            group.decide()
            moved.append(len(before.moves_to(group.expert_map)))
        self.assertLess(sum(moved[24:]), sum(moved[:24]))

    def test_zero_weight_of_skew_never_moves(self) -> None:
        group = _Group(Weights(skew=0, cost=1))
        group.receive_reports(_drifted(1))
        self.assertIsInstance(group.decide(), Keep)

    def test_layers_without_reports_keep_their_placement(self) -> None:
        group = _Group()
        group.receive_reports(_drifted(1))
        known = group.estimator.estimate()
        shares = known.shares.copy()
        variances = known.variances.copy()
        shares[0] = 1 / SHAPE.experts
        variances[0] = 1
        partial_estimate = known._replace(shares=shares, variances=variances)
        decision = group.policy.decide(
            partial_estimate, group.expert_map, group.context, 50
        )
        assert isinstance(decision, Change)
        self.assertTrue(all(move.layer > 0 for move in decision.moves))
        self.assertEqual(
            ExpertMap(1, group.expert_map.placement[:1]),
            ExpertMap(1, decision.expert_map.placement[:1]),
        )
