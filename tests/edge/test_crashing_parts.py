"""Guards against a part of prompts that ends upstream after upstream.

No two requests with the part are alike, so that each of them is sent once.
Sound requests share their workspace and their other parts.
"""

from __future__ import annotations

import unittest
from itertools import product

from snipebend.hashing.part_keys import is_part_key, make_part_keys
from tests.edge.crashing_upstreams import crashing_fleet, has_part

#: Upstreams that may end before requests with the part are refused.
LIMIT = 3
UPSTREAMS = 14
PATHS = ('/safe/', '/unsafe/', '/stream/')
SHARED = ('system', 'workspace', 'subject')


def insert_bad(place):
    """Return the shared parts with the bad one in a place."""
    return (*SHARED[:place], 'bad', *SHARED[place:])


class TestCrashingParts(unittest.IsolatedAsyncioTestCase):
    """Only requests with the part are refused, after three ends."""

    async def test_requests_with_a_crashing_part_are_refused(self):
        cases = list(product(range(len(SHARED) + 1), PATHS))
        ends = [await self._count_ends(place, path) for place, path in cases]
        self.assertEqual(ends, [LIMIT for _ in cases])

    async def test_refusal_says_that_the_request_has_not_run(self):
        async with crashing_fleet(UPSTREAMS, has_part('bad')) as fleet:
            for _ in range(UPSTREAMS):
                bad = await fleet.send('bad')
            sound = await fleet.send('system')
        self.assertEqual(bad.status, 503)
        self.assertIn(b'not-run', bad.body)
        self.assertGreater(float(bad.headers['retry-after']), 60)
        self.assertEqual(sound.status, 200)

    async def test_other_entry_refuses_the_part(self):
        bad = has_part('bad')
        async with (
            crashing_fleet(UPSTREAMS, bad) as fleet,
            crashing_fleet(1, bad) as other,
        ):
            for _ in range(LIMIT):
                await fleet.send('bad')
            reports = fleet.relay.service.make_crash_reports()
            other.relay.service.apply_crashes('entry-1', reports)
            refused = await other.send('bad')
            sound = await other.send('system')
            ended = other.ended
        self.assertEqual(ended, 0)
        self.assertEqual((refused.status, sound.status), (503, 200))

    async def test_end_does_not_count_for_calls_that_the_upstream_outlived(
        self,
    ):
        async with crashing_fleet(1, has_part('bad')) as fleet:
            upstream = fleet.upstreams[0]
            for part in ('a', 'b'):
                upstream.broken = True
                await fleet.send(part, path='/unsafe/')
                upstream.broken = False
                await fleet.send('other', path='/unsafe/')
            await fleet.send('bad', path='/unsafe/')
            # Finds that connections are refused.
            await fleet.send('other', path='/unsafe/')
            suspects = fleet.relay.service.make_crash_reports()
        parts = {key for key in suspects if is_part_key(key)}
        self.assertEqual(parts, set(make_part_keys(['bad'])))

    async def _count_ends(self, place, path):
        async with crashing_fleet(UPSTREAMS, has_part('bad')) as fleet:
            for _ in range(UPSTREAMS):
                await fleet.send(*SHARED, path=path)
                await fleet.send(*insert_bad(place), path=path)
            return fleet.ended


if __name__ == '__main__':
    unittest.main()
