"""Guards against a document that takes seconds to reach entries.

The document had grown to 0.6 MB with many routes. Each of five control daemons
sent it completely to each entry; together they filled the entry's link of 20
Mbit/s, which responses to callers share, for 1.24 s. A watch without a complete
message for 1.2 s was closed and its bytes were dropped, because only complete
messages counted as a sign of life. The next watch began with the first byte.

As a result, a confirmed change was not in force 2.5 s later, at some entries
for 40 s, and most responses were late meanwhile. Evidence: links were full for
25 s with idle processors, `watch_opened` was logged each 1.25 s without
`document_in_force`, and entries' metrics showed the old document number.
"""

from __future__ import annotations

import random
import unittest

from tests.edge.document_fixture import Deployment

DAEMONS = 5
#: Bytes of a document with 3,000 routes.
SIZE = 620_000
#: Bytes that a connection carries until its reader times out.
CUT_AFTER = SIZE // 4
#: Bytes after which a link has carried enough for ten documents.
MAX_CARRIED = 10 * SIZE


def document(number):
    """Return an incompressible document."""
    rng = random.Random(number)
    return b'%d ' % number + rng.randbytes(SIZE)


class TestLargeDocument(unittest.IsolatedAsyncioTestCase):
    """Over loopback connections, measured in bytes and not in time."""

    async def test_document_crosses_the_link_of_an_entry_once(self):
        async with Deployment(DAEMONS) as deployment:
            await deployment.wait_for_updates('before')
            deployment.put(7, document(7))
            await deployment.wait_until(lambda: deployment.follower.number == 7)
            await deployment.wait_for_updates('after')
            self.assertLess(deployment.carried_bytes, 1.2 * SIZE)

    async def test_document_arrives_over_connections_that_end_early(self):
        async with Deployment(DAEMONS, CUT_AFTER) as deployment:
            deployment.put(7, document(7))
            await deployment.wait_until(
                lambda: (
                    deployment.follower.number == 7
                    or deployment.carried_bytes > MAX_CARRIED
                )
            )
            self.assertEqual(deployment.follower.number, 7)
            self.assertLess(deployment.carried_bytes, 2 * SIZE)
