"""Guards against entries that divide the fleet's retries by too few.

A data centre that is cut off from the others reports only its own entries. If
each of them divides the slack by that number, the data centres together spend
it several times over.
"""

from __future__ import annotations

import unittest

from snipebend.settings.relay import RelaySection
from snipebend.state.host_updates import HostUpdate
from tests.edge.relay_fixture import running

SLACK = RelaySection().retry_slack
DATA_CENTERS = 3
ENTRIES_PER_DATA_CENTER = 5
ENTRIES = DATA_CENTERS * ENTRIES_PER_DATA_CENTER


def update_listing(entries):
    """Return an update of a control daemon that lists this many entries."""
    return HostUpdate(
        0,
        0,
        0,
        b'',
        (),
        (),
        tuple(f'127.0.0.1:{number}' for number in range(entries)),
    )


class TestRetryShare(unittest.IsolatedAsyncioTestCase):
    """All entries together save no more than the fleet's slack."""

    async def test_data_centers_cut_off_from_each_other(self):
        async with running() as relay:
            relay.follower.gossip_address = '127.0.0.1:0'
            for entries in (ENTRIES, ENTRIES_PER_DATA_CENTER):
                relay.follower._apply_update(update_listing(entries), 'daemon')
            budget = relay.service._budget('s')
            for _ in range(1000):
                budget.record_request()
        self.assertLessEqual(ENTRIES * budget.left, SLACK)


if __name__ == '__main__':
    unittest.main()
