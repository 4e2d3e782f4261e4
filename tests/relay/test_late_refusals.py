"""Guards against late refusals that are not counted, or under another cause."""

from __future__ import annotations

import unittest

from snipebend.relay.admission import Admitted
from snipebend.relay.call_outcomes import CallOutcome
from snipebend.relay.facts import CallerFacts
from snipebend.relay.late_refusals import find_late_refusal
from tests.edge.relay_fixture import TABLE

BEGAN_AT = 100.0


def admit(target_s):
    """Return a request that began then, with this target."""
    route = TABLE.routes[0]._replace(target_s=target_s)
    return Admitted(CallerFacts(), route, 's', 'w', 1, BEGAN_AT, BEGAN_AT + 2)


class TestLateRefusals(unittest.TestCase):
    """A refusal is late after an eighth of the target."""

    def test_bound(self):
        admitted = admit(0.8)
        self.assertIsNone(find_late_refusal(admitted, 0, None, BEGAN_AT + 0.09))
        late = find_late_refusal(admitted, 0, None, BEGAN_AT + 0.11)
        self.assertEqual(late.cause, 'waited')
        self.assertAlmostEqual(late.waited_s, 0.11)

    def test_cause_is_the_last_call(self):
        for outcome in CallOutcome:
            late = find_late_refusal(admit(0.8), 2, outcome, BEGAN_AT + 1)
            self.assertEqual(late.cause, outcome.value)

    def test_call_without_an_outcome_yet(self):
        late = find_late_refusal(admit(0.8), 1, None, BEGAN_AT + 1)
        self.assertEqual(late.cause, 'unanswered')

    def test_route_without_a_target(self):
        self.assertIsNone(find_late_refusal(admit(0), 0, None, BEGAN_AT + 1))


if __name__ == '__main__':
    unittest.main()
