"""Ensures that load estimates do not depend on how reports arrive.

Reports of ranks arrive late, twice, out of order or not at all, and some are
invalid. The estimate must not be biased by this, only less certain.
"""

from __future__ import annotations

import unittest

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.experts.estimate import ExpertReport, LoadEstimator
from tests.experts.loads import SHAPE, draw_reports, zipf_shares

HALF_LIFE = 500.0


def _estimate(reports: list[ExpertReport]) -> LoadEstimator:
    estimator = LoadEstimator(SHAPE, HALF_LIFE)
    for report in reports:
        estimator.record(report).unwrap()
    return estimator


def _three_rounds(seed: int) -> list[ExpertReport]:
    rng = np.random.default_rng(seed)
    shares = zipf_shares(SHAPE, seed)
    return [
        report
        for step in (100, 400, 900)
        for report in draw_reports(SHAPE, shares, step, rng)
    ]


class EstimateTest(unittest.TestCase):
    @given(st.randoms(use_true_random=False), st.integers(0, 50))
    @settings(derandomize=True, deadline=None, max_examples=30)
    def test_order_and_duplicates_do_not_change_the_estimate(
        self, rng, seed
    ) -> None:
        reports = _three_rounds(seed)
        shuffled_reports = reports + rng.sample(reports, 10)
        rng.shuffle(shuffled_reports)
        in_order = _estimate(reports).estimate()
        shuffled = _estimate(shuffled_reports).estimate()
        np.testing.assert_allclose(shuffled.shares, in_order.shares)
        np.testing.assert_allclose(shuffled.variances, in_order.variances)
        self.assertEqual(shuffled.step, in_order.step)

    def test_missing_ranks_widen_the_variance_without_bias(self) -> None:
        reports = _three_rounds(3)
        all_ranks = _estimate(reports).estimate()
        some_ranks = _estimate(
            [one for one in reports if one.rank < 3]
        ).estimate()
        truth = zipf_shares(SHAPE, 3)
        errors = (some_ranks.shares - truth) / np.sqrt(some_ranks.variances)
        self.assertLess(np.abs(errors).max(), 5)
        self.assertLess(errors.std(), 1.5)
        self.assertGreater(
            some_ranks.variances.sum(), 2 * all_ranks.variances.sum()
        )

    def test_layers_without_reports_stay_unknown(self) -> None:
        report = _three_rounds(1)[0]
        estimator = LoadEstimator(SHAPE, HALF_LIFE)
        only = report._replace(
            layers=report.layers[:1],
            counts=report.counts[:1],
        )
        estimator.record(only).unwrap()
        estimate = estimator.estimate()
        self.assertTrue((estimate.variances[1:] == 1).all())
        self.assertTrue((estimate.shares[1:] == 1 / SHAPE.experts).all())
        recorded = estimator.record(report).unwrap()
        self.assertTrue(recorded)
        self.assertFalse(estimator.record(report).unwrap())
        self.assertLess(estimator.estimate().variances.max(), 1)

    def test_too_old_reports_are_dropped(self) -> None:
        old, *others = _three_rounds(1)
        estimator = _estimate(others)
        later = others[-1]._replace(step=100_000)
        self.assertTrue(estimator.record(later).unwrap())
        self.assertFalse(estimator.record(old).unwrap())

    def test_invalid_reports_are_refused(self) -> None:
        good = _three_rounds(1)[0]
        broken = (
            good._replace(rank=SHAPE.ranks),
            good._replace(step=-1),
            good._replace(counts=good.counts[:, 1:]),
            good._replace(layers=good.layers + 1),
            good._replace(layers=np.zeros_like(good.layers)),
            good._replace(counts=-good.counts),
        )
        estimator = LoadEstimator(SHAPE, HALF_LIFE)
        for report in broken:
            self.assertTrue(estimator.record(report).is_err())
        self.assertEqual(estimator.estimate().step, -1)

    def test_shares_follow_a_jump_faster_than_the_half_life(self) -> None:
        rng = np.random.default_rng(4)
        before, after = zipf_shares(SHAPE, 1), zipf_shares(SHAPE, 2)
        estimator = LoadEstimator(SHAPE, HALF_LIFE)
        for step in range(100, 2001, 100):
            shares = before if step <= 1500 else after
            for report in draw_reports(SHAPE, shares, step, rng):
                estimator.record(report).unwrap()
        estimate = estimator.estimate()
        moved = np.abs(estimate.shares - before).sum()
        distance = np.abs(after - before).sum()
        self.assertGreater(moved / distance, 0.8)
