"""Guards against a part of prompts that ends upstream after upstream.

No two requests with the part are alike, so that each of them is sent once.
Sound requests share their workspace and their other parts.
"""

from __future__ import annotations

import unittest
from itertools import product

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

    async def _count_ends(self, place, path):
        async with crashing_fleet(UPSTREAMS, has_part('bad')) as fleet:
            for _ in range(UPSTREAMS):
                await fleet.send(*SHARED, path=path)
                await fleet.send(*insert_bad(place), path=path)
            return fleet.ended


if __name__ == '__main__':
    unittest.main()
