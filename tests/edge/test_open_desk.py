"""Without admission by room, an entry chooses as it did before.

The decisions were recorded on the code before admission existed.
"""

from __future__ import annotations

import asyncio
import random
import unittest

from snipebend.edge.admission_desk import Inquiry
from snipebend.edge.open_desk import OpenDesk
from snipebend.relay.upstreams import UpstreamTable
from snipebend.state.roster import UpstreamRecord
from tests.edge.admission_load import Request, make_admitted
from tests.edge.admission_load import make_chooser as make_entry_chooser

UPSTREAMS = 5
SLOTS = 2
#: Share of requests before which a call ends.
END_SHARE = 0.25
#: Upstreams chosen for 40 requests with ends of calls between them; twice the
#: slots of each are taken, then none is given.
RECORDED = '042310323043402312430110421--3---2------'


def make_chooser(now, seed):
    table = UpstreamTable()
    table.apply_records(
        UpstreamRecord(
            str(number), 's', '10.0.0.1:80', f'dc-{number % 2}', SLOTS
        )
        for number in range(UPSTREAMS)
    )
    rng = random.Random(seed)
    return table, make_entry_chooser(table, 'dc-0', lambda: now, rng)


def play(choose, table):
    """Return the choices of a seeded sequence of requests and ends."""
    rng = random.Random(7)
    running = []
    choices = ''
    for step in range(40):
        if running and rng.random() < END_SHARE:
            running.pop(rng.randrange(len(running))).own_calls -= 1
        if step % 8 == 5:
            table.apply_calls('e2', {str(rng.randrange(UPSTREAMS)): 2})
        request = Request(priority=rng.randrange(3))
        upstream = choose(make_admitted(request, 0))
        choices += '-' if upstream is None else upstream.record.identity
        if upstream is not None:
            upstream.own_calls += 1
            running.append(upstream)
    return choices


class TestOpenDesk(unittest.TestCase):
    """Replays a recorded sequence of decisions."""

    def test_decisions_are_those_of_before(self):
        table, chooser = make_chooser(1, 3)
        desk = OpenDesk(chooser)

        def choose(admitted):
            inquiry = Inquiry(admitted, (), 0, has_events=False)
            return asyncio.run(desk.acquire(inquiry))

        self.assertEqual(play(choose, table), RECORDED)
        self.assertEqual(desk.waiting(), {})


if __name__ == '__main__':
    unittest.main()
