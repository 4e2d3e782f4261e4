"""Gossip must reach each entry exactly once.

A message is sent once to each other data centre and forwarded there. If sender
and forwarder choose their recipients differently, entries are left out or
receive copies, and a fixed recipient would do all forwarding of its data
centre.
"""

from __future__ import annotations

import unittest
from collections import Counter
from types import MappingProxyType

from snipebend.relay.fan_out import choose_recipients

DATA_CENTERS = MappingProxyType(
    {
        f'10.{data_center}.0.{number}:7': f'dc-{data_center}'
        for data_center, entries in enumerate((7, 7, 7, 8, 7))
        for number in range(entries)
    }
)
#: Messages after which each entry of a data centre has been chosen.
ROTATION = 56


class TestChooseRecipients(unittest.TestCase):
    """A fleet of 36 entries in five data centres."""

    def deliver(self, sender, number):
        """Return deliveries by entry, and messages between data centres."""
        deliveries = Counter()
        data_center = DATA_CENTERS[sender]
        sent = choose_recipients(
            DATA_CENTERS.keys() - {sender}, DATA_CENTERS, data_center, number
        )
        deliveries.update(sent.local)
        for remote in sent.remote:
            deliveries[remote] += 1
            forwarded = choose_recipients(
                DATA_CENTERS.keys() - {remote},
                DATA_CENTERS,
                DATA_CENTERS[remote],
                number,
            )
            deliveries.update(forwarded.local)
        return deliveries, len(sent.remote)

    def test_one_delivery_per_entry_and_one_crossing_per_data_center(self):
        """Sent directly, 28 of 35 messages cross data centres; here 4 of 35."""
        for number, sender in enumerate(DATA_CENTERS):
            with self.subTest(sender=sender):
                deliveries, crossings = self.deliver(sender, number)
                self.assertEqual(
                    deliveries, Counter(DATA_CENTERS.keys() - {sender})
                )
                self.assertEqual(crossings, 4)

    def test_remote_recipients_rotate(self):
        sender = '10.0.0.0:7'
        chosen = Counter()
        for number in range(ROTATION):
            chosen.update(
                choose_recipients(
                    DATA_CENTERS, DATA_CENTERS, 'dc-0', number
                ).remote
            )
        self.assertEqual(
            chosen.keys(), set(DATA_CENTERS) - set(_entries_of('dc-0'))
        )
        self.assertNotIn(sender, chosen)
        self.assertEqual(set(chosen.values()), {ROTATION // 7, ROTATION // 8})

    def test_unknown_data_centers_are_sent_to_directly(self):
        """Control daemons of an earlier version do not send data centres."""
        entries = frozenset(DATA_CENTERS)
        recipients = choose_recipients(entries, {}, 'dc-0', 3)
        self.assertEqual(set(recipients.local), entries)
        self.assertEqual(recipients.remote, ())


def _entries_of(data_center):
    return [
        address
        for address, data_center_of_entry in DATA_CENTERS.items()
        if data_center_of_entry == data_center
    ]


if __name__ == '__main__':
    unittest.main()
