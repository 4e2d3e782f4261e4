"""No flow may starve, or get more than its share, under overload.

If requests were served in order of arrival, a workspace that fills the queue
would make all later ones wait. Tickets are removed while they wait; the others
must keep their order and leave the queue once.
"""

from __future__ import annotations

from collections import Counter
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.routing.fair_queue import FairQueue, FlowWeights
from snipebend.routing.messages import Ticket
from tests.routing.fixtures import request

_WEIGHTS = st.dictionaries(
    st.sampled_from('abcdef'), st.integers(1, 9), min_size=1
)


def _ticket(number: int, priority: str, workspace: str) -> Ticket:
    req = request()._replace(priority=priority, workspace=workspace)
    return Ticket(number, req, 0)


class FairQueueTest(TestCase):
    """Turns are shared by weight over priorities, then over workspaces."""

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(_WEIGHTS, _WEIGHTS)
    def test_shares_converge_to_weights(
        self, high: dict[str, int], low: dict[str, int]
    ) -> None:
        queue = FairQueue()
        classes = {'high': (8, high), 'low': (1, low)}
        number = 0
        for priority, (weight, flows) in classes.items():
            for workspace, workspace_weight in flows.items():
                for _ in range(900):
                    number += 1
                    queue.push(
                        _ticket(number, priority, workspace),
                        FlowWeights(weight, workspace_weight),
                    )
        turns = 900
        got: Counter[tuple[str, str]] = Counter()
        for _ in range(turns):
            ticket = queue.pop()
            assert ticket is not None
            got[ticket.req.priority, ticket.req.workspace] += 1
        for priority, (weight, flows) in classes.items():
            share = turns * weight / 9
            for workspace, workspace_weight in flows.items():
                expected = share * workspace_weight / sum(flows.values())
                self.assertAlmostEqual(
                    got[priority, workspace], expected, delta=3
                )

    def test_flood_does_not_starve_a_later_flow(self) -> None:
        """A late flow gets its share from then on, without earlier credit."""
        queue = FairQueue()
        for number in range(500):
            queue.push(_ticket(number, 'high', 'a'), FlowWeights(8, 1))
        for _ in range(100):
            queue.pop()
        for number in range(1000, 1020):
            queue.push(_ticket(number, 'low', 'b'), FlowWeights(1, 1))
        turns = [queue.pop() for _ in range(18)]
        late = sum(one.number >= 1000 for one in turns if one)
        self.assertEqual(late, 2)

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('push', 'pop', 'remove')),
                st.sampled_from('ab'),
                st.integers(0, 40),
            )
        )
    )
    def test_each_ticket_leaves_once_and_in_order(
        self, steps: list[tuple[str, str, int]]
    ) -> None:
        queue = FairQueue()
        waiting: dict[int, Ticket] = {}
        for number, (action, flow, old) in enumerate(steps):
            if action == 'push':
                waiting[number] = _ticket(number, 'p', flow)
                queue.push(waiting[number], FlowWeights(1, 1))
            elif action == 'remove':
                self.assertEqual(queue.remove(old), waiting.pop(old, None))
            else:
                ticket = queue.pop()
                self.assertEqual(ticket is None, not waiting)
                if ticket is not None:
                    queued_numbers = [
                        one.number
                        for one in waiting.values()
                        if one.req.workspace == ticket.req.workspace
                    ]
                    self.assertEqual(ticket.number, min(queued_numbers))
                    waiting.pop(ticket.number)
            self.assertEqual(len(queue), len(waiting))
