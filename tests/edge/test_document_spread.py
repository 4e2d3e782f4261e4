"""A document that is large for the links of entries.

What users saw: a change that had been confirmed wasn't in force 2.5 s later, at
some entries for 40 s, and most answers were late meanwhile. The order of
events: the document grew to 0.6 MB by many routes; each of five control daemons
sent it whole to each entry; together they filled the entry's link of 20 Mbit/s
for 1.24 s, which answers to callers wait for, too; a watch that brings nothing
whole for 1.2 s is ended, what it had brought is dropped, and the next begins
with the first byte. The cause: what is sent counts as a sign of life only when
it is whole, and nothing of it is kept. Proved by figures of each second (links
full for 25 s, processors idle), by `watch_opened` each 1.25 s without
`document_in_force`, and by the number of the document that each entry's metrics
told.
"""

from __future__ import annotations

import random
import unittest

from tests.edge.document_rig import Spread

DAEMONS = 5
#: Bytes of a document with 3,000 routes.
SIZE = 620_000
#: As many as a connection carries until its user loses patience.
ONE_LIFE = SIZE // 4
#: Bytes after which a link has carried enough for ten documents.
ENOUGH = 10 * SIZE


def document(number):
    """Return a document that can't be packed into less."""
    rng = random.Random(number)
    return b'%d ' % number + rng.randbytes(SIZE)


class TestLargeDocument(unittest.IsolatedAsyncioTestCase):
    """Over connections on loopback, counted in bytes and not in time."""

    async def test_it_crosses_an_entrys_link_once(self):
        async with Spread(DAEMONS) as spread:
            await spread.all_told('before')
            spread.put(7, document(7))
            await spread.until(lambda: spread.follower.number == 7)
            await spread.all_told('after')
            self.assertLess(spread.returned_bytes, 1.2 * SIZE)

    async def test_it_arrives_over_connections_that_end_before(self):
        async with Spread(DAEMONS, ONE_LIFE) as spread:
            spread.put(7, document(7))
            await spread.until(
                lambda: (
                    spread.follower.number == 7
                    or spread.returned_bytes > ENOUGH
                )
            )
            self.assertEqual(spread.follower.number, 7)
            self.assertLess(spread.returned_bytes, 2 * SIZE)
