"""Loads must not seem outdated after control has confirmed them.

While the directory is unchanged, control sends empty differences, which confirm
every load. If they were not sent, or did not renew the time of the loads, the
loads of an unchanged directory would seem outdated.
"""

from __future__ import annotations

import unittest
from unittest import mock

from snipebend.membership.directory_delta import (
    DirectoryCopy,
    DirectoryDelta,
    Joined,
    LoadChange,
)
from snipebend.membership.messages import DirectoryRequest
from snipebend.transport import directory_api
from snipebend.transport.upstream_views import UpstreamViews
from tests.transport.test_cancelled_waits import ANNOUNCEMENT, start_keeper


class UpstreamViewsTest(unittest.IsolatedAsyncioTestCase):
    """Each difference, even an empty one, updates the time of every load."""

    async def test_loads_are_as_old_as_the_latest_difference(self) -> None:
        copy = DirectoryCopy()
        views = UpstreamViews()
        loads = []
        for now, delta in (
            (
                10,
                DirectoryDelta(
                    1, reset=True, joined=(Joined(0, ANNOUNCEMENT),)
                ),
            ),
            (15, DirectoryDelta(1, loads=(LoadChange(0, 7, 2),))),
            (20, DirectoryDelta(1)),
        ):
            copy.apply(delta)
            views.update(copy.upstreams(), now)
            view = views.views()[0]
            self.assertEqual(view.joined_at, 10)
            loads.append((view.load.running, view.load.taken_at))
        self.assertEqual(loads, [(0, 10), (7, 15), (7, 20)])

    async def test_unchanged_directory_sends_empty_differences(self) -> None:
        keeper = await start_keeper()
        keeper.record(ANNOUNCEMENT)
        watch = keeper.watch(DirectoryRequest('e-1'))
        with mock.patch.object(directory_api, 'LOAD_INTERVAL_S', 0.001):
            first = await anext(watch)
            second = await anext(watch)
        self.assertTrue(first.reset)
        self.assertTrue(second.is_empty())
        await watch.aclose()


if __name__ == '__main__':
    unittest.main()
