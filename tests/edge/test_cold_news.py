"""Guards against entries that trust what a daemon said before it was lost.

An upstream may turn cold while the only daemon that hears it is out of reach.
Entries without settings for cold upstreams must not be sent any of it.
"""

from __future__ import annotations

import unittest

from snipebend.relay.reported_warmth import ReportedWarmth
from snipebend.settings.relay import ColdSection, RelaySection
from snipebend.state.roster import UpstreamRecord
from snipebend.state.warmth import Warmth, read_hearing
from tests.edge.document_fixture import Deployment


def hear(daemon, cold_ms, number):
    record = UpstreamRecord('i-1', 's', '10.0.0.9:80', 'dc', 4, born=5)
    hearing = read_hearing('i-1', 5, number, cold_ms)
    daemon.host_service.warmth.hear(record, hearing)


class TestColdNews(unittest.IsolatedAsyncioTestCase):
    """Over loopback connections, from daemons to one entry."""

    def follow(self, deployment):
        """Apply the reports, and record who sent them."""
        self.events = []
        self.warmth = ReportedWarmth()

        def apply(daemon, reports):
            self.events.append((daemon, reports is not None))
            if reports is None:
                self.warmth.remove_daemon(daemon)
            else:
                self.warmth.apply(daemon, reports)

        deployment.follower.on_warmth = apply

    def is_reported(self, warmth):
        report = self.warmth.find('i-1')
        return report is not None and report.warmth is warmth

    async def test_the_latest_heartbeat_of_all_daemons(self):
        section = RelaySection(cold=ColdSection())
        async with Deployment(2, section=section) as deployment:
            self.follow(deployment)
            first, second = deployment.daemons
            hear(first, 0, 1)
            await deployment.wait_until(lambda: self.is_reported(Warmth.WARM))
            hear(second, 900, 2)
            await deployment.wait_until(lambda: self.is_reported(Warmth.COLD))
            hear(first, 0, 3)
            hear(second, 0, 4)
            await deployment.wait_until(lambda: self.is_reported(Warmth.WARM))

    async def test_reports_of_a_lost_daemon_are_dropped_then_sent_again(self):
        section = RelaySection(cold=ColdSection())
        async with Deployment(1, section=section) as deployment:
            self.follow(deployment)
            hear(deployment.daemons[0], 0, 1)
            await deployment.wait_until(lambda: self.is_reported(Warmth.WARM))
            self.events.clear()
            deployment.links[0].cut()
            address = deployment.links[0].address
            await deployment.wait_until(lambda: (address, True) in self.events)
            self.assertEqual(self.events[0], (address, False))
            self.assertTrue(self.is_reported(Warmth.WARM))

    async def test_nothing_is_sent_without_settings(self):
        async with Deployment(1) as deployment:
            self.follow(deployment)
            hear(deployment.daemons[0], 0, 1)
            await deployment.wait_for_updates('after')
            self.assertNotIn(True, [applied for _, applied in self.events])


if __name__ == '__main__':
    unittest.main()
