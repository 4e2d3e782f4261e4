"""Whom entries tell what is for all of them."""

from __future__ import annotations

import unittest
from collections import Counter
from types import MappingProxyType

from snipebend.relay.spreading import spread

PLACES = MappingProxyType(
    {
        f'10.{place}.0.{number}:7': f'dc-{place}'
        for place, entries in enumerate((7, 7, 7, 8, 7))
        for number in range(entries)
    }
)
#: Messages in which each entry of a data centre has had its turn.
ROUND = 56


class TestSpread(unittest.TestCase):
    """A fleet of 36 entries in five data centres."""

    def told(self, sender, number):
        """Return who is told how often, and the messages across places."""
        heard = Counter()
        place = PLACES[sender]
        first = spread(PLACES.keys() - {sender}, PLACES, place, number)
        heard.update(first.near)
        for far in first.far:
            heard[far] += 1
            onward = spread(PLACES.keys() - {far}, PLACES, PLACES[far], number)
            heard.update(onward.near)
        return heard, len(first.far)

    def test_each_is_told_once_and_each_place_is_sent_to_once(self):
        """28 of 35 messages went to another data centre, now 4 of 35."""
        for number, sender in enumerate(PLACES):
            with self.subTest(sender=sender):
                heard, across = self.told(sender, number)
                self.assertEqual(heard, Counter(PLACES.keys() - {sender}))
                self.assertEqual(across, 4)

    def test_far_ones_take_turns(self):
        sender = '10.0.0.0:7'
        turns = Counter()
        for number in range(ROUND):
            turns.update(spread(PLACES, PLACES, 'dc-0', number).far)
        self.assertEqual(turns.keys(), set(PLACES) - set(_at('dc-0')))
        self.assertNotIn(sender, turns)
        self.assertEqual(set(turns.values()), {ROUND // 7, ROUND // 8})

    def test_unknown_places_are_told_directly(self):
        """Control daemons of an earlier version don't tell them."""
        entries = frozenset(PLACES)
        found = spread(entries, {}, 'dc-0', 3)
        self.assertEqual(set(found.near), entries)
        self.assertEqual(found.far, ())


def _at(place):
    return [address for address, where in PLACES.items() if where == place]


if __name__ == '__main__':
    unittest.main()
