"""Guards against a process that uses an incomplete or outdated configuration.

A process that misses revisions receives a delta for a base that it does not
have. A message that is delayed in transit must not extend the lease. A lease
shorter than the interval of messages plus the age of a confirmation expires
without any fault.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import msgpack, structs

from snipebend.console.demo_fleet import FLEET
from snipebend.fleet.lease import (
    KEEPALIVE_S,
    MAX_CONFIRMATION_AGE_S,
    MIN_CONFIG_LEASE_S,
)
from snipebend.fleet.rendering import render_fleet
from snipebend.membership.confirmations import Confirmations
from snipebend.state.configuration import MAX_TEXTS, ConfigurationState
from snipebend.state.configuration_feed import ConfigurationFeed
from snipebend.state.followed_configuration import (
    FollowedConfiguration,
    UpdateResult,
)
from snipebend.state.messages import ApplyRequest, Configuration


def apply(state: ConfigurationState, number: int) -> None:
    limit = f'queue_limit = {number + 1}'
    text = FLEET.replace('queue_limit = 100', limit)
    state.apply(ApplyRequest(f'c-{state.revision}', state.revision, text))


def over_the_wire(message: Configuration) -> Configuration:
    return msgpack.decode(msgpack.encode(message), type=Configuration)


class FollowedTest(unittest.TestCase):
    """A copy equals the fleet in force, or detects that it is incomplete."""

    def setUp(self) -> None:
        self.state = ConfigurationState()
        self.feed = ConfigurationFeed()
        self.copy = FollowedConfiguration()

    def take(self, *, full: bool = False) -> UpdateResult:
        base = None if full else self.copy.revision
        message = self.feed.next_after(self.state, base)
        return self.copy.apply(over_the_wire(message), 0)

    def text(self) -> str:
        return render_fleet(self.copy.index.fleet) if self.copy.index else ''

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.lists(st.integers(0, 9), min_size=1, max_size=50), st.data())
    def test_skipped_revisions_lead_to_the_text_in_force(
        self, numbers: list[int], data: st.DataObject
    ) -> None:
        self.setUp()
        for number in numbers:
            apply(self.state, number)
            if data.draw(st.integers(0, 3)):
                continue
            self.assertIs(self.take(), UpdateResult.NEWER)
            self.assertEqual(self.text(), self.state.text)
            self.assertEqual(self.copy.revision, self.state.revision)

    def test_known_base_gets_a_delta_and_an_old_base_the_text(
        self,
    ) -> None:
        apply(self.state, 0)
        self.take()
        apply(self.state, 1)
        message = self.feed.next_after(self.state, 1)
        self.assertEqual((message.text, message.base), ('', 1))
        for number in range(MAX_TEXTS):
            apply(self.state, number)
        restarted = ConfigurationFeed()
        message = restarted.next_after(self.state, 1)
        self.assertEqual(message.text, self.state.text)

    def test_wrong_delta_is_detected_and_replaced_by_the_text(self) -> None:
        apply(self.state, 0)
        self.take()
        apply(self.state, 1)
        message = self.feed.next_after(self.state, 1)
        wrong = structs.replace(message, checksum=message.checksum ^ 1)
        self.assertIs(self.copy.apply(wrong, 0), UpdateResult.MISSED)
        other_base = structs.replace(message, base=0)
        self.assertIs(self.copy.apply(other_base, 0), UpdateResult.MISSED)
        self.assertEqual(self.copy.revision, 1)
        self.assertIs(self.take(full=True), UpdateResult.NEWER)
        self.assertEqual(self.text(), self.state.text)

    def test_revision_never_decreases(self) -> None:
        apply(self.state, 0)
        apply(self.state, 1)
        self.take()
        older = ConfigurationState()
        apply(older, 5)
        stale = ConfigurationFeed().next_after(older, None)
        self.assertIs(self.copy.apply(stale, 0), UpdateResult.SAME)
        self.assertEqual(self.text(), self.state.text)

    def test_lease_starts_at_the_confirmation_not_the_arrival(self) -> None:
        apply(self.state, 0)
        message = self.feed.next_after(self.state, None)
        unconfirmed = structs.replace(message, elapsed_s=9)
        self.copy.apply(unconfirmed, opened_at=100)
        self.assertTrue(self.copy.is_expired(100))
        dated = structs.replace(message, elapsed_s=9, confirmed_ago_s=2)
        self.copy.apply(dated, opened_at=100)
        self.assertEqual(self.copy.lease_until, 112)
        late = structs.replace(message, elapsed_s=3, confirmed_ago_s=0)
        self.copy.apply(late, opened_at=100)
        self.assertEqual(self.copy.lease_until, 112)
        self.assertFalse(self.copy.is_expired(111))
        self.assertTrue(self.copy.is_expired(112))

    def test_shortest_lease_lasts_until_the_next_message(self) -> None:
        for lease_s, lapsed in (
            (MIN_CONFIG_LEASE_S, False),
            (MIN_CONFIG_LEASE_S - 0.5, True),
        ):
            state = ConfigurationState()
            text = f'{FLEET}\n[routing]\nconfig_lease_s = {lease_s}\n'
            state.apply(ApplyRequest('c', 0, text))
            message = self.feed.next_after(state, None)
            oldest = structs.replace(
                message, elapsed_s=0, confirmed_ago_s=MAX_CONFIRMATION_AGE_S
            )
            copy = FollowedConfiguration()
            copy.apply(oldest, opened_at=100)
            before_next = 100 + KEEPALIVE_S - 0.01
            self.assertIs(copy.is_expired(before_next), lapsed)
            self.feed = ConfigurationFeed()


class ConfirmationsTest(unittest.TestCase):
    """Only processes whose lease has not expired are counted.

    Otherwise a process that stopped would keep a revision unconfirmed forever.
    """

    def test_unresponsive_processes_expire_and_are_removed(self) -> None:
        confirmations = Confirmations(0, 5)
        confirmations.record('a', 3, 1, 5)
        confirmations.record('b', 4, 4, 5)
        confirmations.record('b', 2, 5, 5)
        self.assertFalse(confirmations.is_complete(4))
        self.assertTrue(confirmations.is_complete(5))
        self.assertEqual(confirmations.fresh(5), {'a': 3, 'b': 4})
        self.assertEqual(confirmations.fresh(6), {'b': 4})
        self.assertEqual(confirmations.expired(6), ('a',))
        self.assertEqual(confirmations.expired(61), ('b',))
