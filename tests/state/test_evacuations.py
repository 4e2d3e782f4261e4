"""Guards against an evacuation that is lost, or ordered by an old message.

Operators resend an order until it is acknowledged, to any control daemon. A
copy can be executed long after others about the same data centre were
acknowledged: a daemon that was frozen or cut off passes on what it reads.
"""

from __future__ import annotations

import random
import unittest

from msgspec import msgpack

from snipebend.state import evacuations
from snipebend.state.commands import (
    ChangeEvacuation,
    decode_command,
    decode_reply,
    encode_command,
)
from snipebend.state.evacuations import (
    EvacuationOrder,
    EvacuationOutcome,
    EvacuationReply,
    EvacuationState,
)
from snipebend.state.machine import Machine

CHANGED = EvacuationOutcome.CHANGED
UNCHANGED = EvacuationOutcome.UNCHANGED
OUTDATED = EvacuationOutcome.OUTDATED


def execute(machine, evacuate, after, name='dc-a', at=1.0):
    """Execute an order as members read it from the log."""
    order = EvacuationOrder(name, evacuate, after, 'operator')
    command = decode_command(encode_command(ChangeEvacuation(order, at)))
    reply = machine.execute(command)
    return decode_reply(command, msgpack.encode(reply))


class TestOrders(unittest.TestCase):
    """What becomes of an order, by the revision that it names."""

    def setUp(self):
        self.machine = Machine()

    def execute(self, evacuate, after, name='dc-a'):
        return execute(self.machine, evacuate, after, name)

    @property
    def evacuated(self):
        return self.machine.state.evacuations.list_evacuated()

    def test_start_and_end(self):
        self.assertEqual(self.execute(True, 0), EvacuationReply(CHANGED, 1))
        self.assertEqual(self.evacuated, ('dc-a',))
        self.assertEqual(self.execute(False, 1), EvacuationReply(CHANGED, 2))
        self.assertEqual(self.evacuated, ())

    def test_a_resent_order_is_acknowledged_and_changes_nothing(self):
        self.execute(True, 0)
        before = self.machine.state.evacuations.records['dc-a']
        self.assertIs(self.execute(True, 0).outcome, UNCHANGED)
        after = self.machine.state.evacuations.records['dc-a']
        self.assertEqual(
            (after.since, after.ordered_by), (before.since, before.ordered_by)
        )
        self.assertEqual(self.evacuated, ('dc-a',))

    def test_a_start_that_comes_after_its_end_is_outdated(self):
        self.execute(True, 0)
        self.execute(False, 1)
        for after in (0, 1):
            self.assertIs(self.execute(True, after).outcome, OUTDATED)
        self.assertEqual(self.evacuated, ())

    def test_a_start_comes_after_an_end_that_changed_nothing(self):
        """The start was given up before it was executed anywhere."""
        self.assertIs(self.execute(False, 0).outcome, UNCHANGED)
        self.assertIs(self.execute(True, 0).outcome, OUTDATED)
        self.assertEqual(self.evacuated, ())

    def test_an_end_comes_after_a_start_that_changed_nothing(self):
        self.execute(True, 0)
        self.execute(True, 1)
        self.assertIs(self.execute(False, 1).outcome, OUTDATED)
        self.assertEqual(self.evacuated, ('dc-a',))

    def test_an_outdated_order_changes_no_revision(self):
        self.execute(True, 0)
        self.execute(False, 1)
        reply = self.execute(True, 0)
        self.assertEqual(reply, EvacuationReply(OUTDATED, 2))

    def test_an_order_after_the_latest_revision_is_carried_out(self):
        self.execute(True, 0)
        self.execute(False, 1)
        self.assertIs(self.execute(True, 2).outcome, CHANGED)

    def test_of_two_operators_the_later_wins(self):
        self.execute(True, 0)
        self.assertIs(self.execute(False, 0).outcome, OUTDATED)
        self.assertIs(self.execute(False, 1).outcome, CHANGED)
        self.assertEqual(self.evacuated, ())

    def test_other_data_centers_do_not_outdate_an_order(self):
        self.execute(True, 0, 'dc-b')
        self.assertIs(self.execute(True, 0, 'dc-a').outcome, CHANGED)
        self.assertEqual(self.evacuated, ('dc-a', 'dc-b'))

    def test_dropped_records_leave_their_revision(self):
        self.execute(True, 0)
        self.execute(False, 1)
        for number in range(evacuations.MAX_ENDED):
            self.execute(False, 2, f'dc-{number}')
        state = self.machine.state.evacuations
        self.assertNotIn('dc-a', state.records)
        self.assertEqual(len(state.records), evacuations.MAX_ENDED)
        self.assertIs(self.execute(True, 1).outcome, OUTDATED)
        self.assertIs(self.execute(True, state.revision).outcome, CHANGED)

    def test_evacuated_data_centers_are_never_dropped(self):
        self.execute(True, 0)
        for number in range(2 * evacuations.MAX_ENDED):
            self.execute(False, 1, f'dc-{number}')
        self.assertEqual(self.evacuated, ('dc-a',))


class TestStorage(unittest.TestCase):
    """Evacuations survive a snapshot; earlier snapshots have none."""

    def test_a_snapshot_between_start_and_end(self):
        machine = Machine()
        execute(machine, True, 0, at=7.0)
        restored = Machine.decode(machine.encode())
        self.assertEqual(restored.state.evacuations, machine.state.evacuations)
        execute(restored, False, 1)
        self.assertEqual(restored.state.evacuations.list_evacuated(), ())
        self.assertIs(execute(restored, True, 1).outcome, OUTDATED)

    def test_a_snapshot_of_an_earlier_version(self):
        machine = Machine()
        execute(machine, True, 0)
        fields = msgpack.decode(machine.encode())
        fields.pop('evacuations')
        restored = Machine.decode(msgpack.encode(fields))
        self.assertEqual(restored.state.evacuations, EvacuationState())
        self.assertIs(execute(restored, True, 0).outcome, CHANGED)


class TestLateCopies(unittest.TestCase):
    """Random copies of orders never undo what was acknowledged after them."""

    def test_copies_of_acknowledged_orders(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng):
        machine = Machine()
        sent = []
        for _ in range(30):
            state = machine.state.evacuations
            evacuate = rng.choice((True, False))
            # A daemon that takes an order may lag.
            after = max(0, state.revision - rng.choice((0, 0, 1, 3)))
            order = (evacuate, after)
            sent.append(order)
            if execute(machine, *order).outcome is OUTDATED:
                continue
            self.assertEqual(bool(state.list_evacuated()), evacuate)
            for copy in rng.sample(sent, min(4, len(sent))):
                execute(machine, *copy)
                self.assertEqual(bool(state.list_evacuated()), evacuate)


if __name__ == '__main__':
    unittest.main()
