"""An agent must recognize a failed upstream, and its recovery, in time.

An upstream that hangs does not respond and is down only after the timeout. One
that has stopped refuses connections and must be down at once. Its next response
must mark it as up again.
"""

from __future__ import annotations

import unittest

from snipebend.membership.upstream_health import UpstreamHealth


class UpstreamHealthTest(unittest.TestCase):
    """A missing response counts after the timeout, a refusal at once."""

    def test_timeout_and_recovery(self) -> None:
        health = UpstreamHealth(6, 100)
        self.assertFalse(health.is_down(105.9))
        self.assertTrue(health.is_down(106))
        health.record_response(110)
        self.assertFalse(health.is_down(115.9))

    def test_refusal(self) -> None:
        health = UpstreamHealth(6, 100)
        health.record_refusal(101)
        self.assertTrue(health.is_down(101))
        health.record_response(102)
        self.assertFalse(health.is_down(102))
