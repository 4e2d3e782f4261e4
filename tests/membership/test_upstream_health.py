"""When an upstream counts as down."""

from __future__ import annotations

import unittest

from snipebend.membership.upstream_health import UpstreamHealth


class UpstreamHealthTest(unittest.TestCase):
    """Silence counts after its deadline, a refusal at once."""

    def test_silence_and_return(self) -> None:
        health = UpstreamHealth(6, 100)
        self.assertFalse(health.is_down(105.9))
        self.assertTrue(health.is_down(106))
        health.answered(110)
        self.assertFalse(health.is_down(115.9))

    def test_refusal(self) -> None:
        health = UpstreamHealth(6, 100)
        health.refused(101)
        self.assertTrue(health.is_down(101))
        health.answered(102)
        self.assertFalse(health.is_down(102))
