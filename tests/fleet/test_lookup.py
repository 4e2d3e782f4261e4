"""Guards against look-ups that find the wrong entry or repeat an unsafe call.

A caller can write one path in many ways, with empty or dot segments, escapes or
a query. No spelling may reach another service, or make a call repeatable that a
rule declares not to be. Ambiguous calls are never repeatable.
"""

from __future__ import annotations

import unittest

from snipebend.fleet.lookup import FleetIndex
from snipebend.fleet.model import ServiceCall
from snipebend.fleet.parsing import parse_fleet
from tests.fleet.test_rendering import EXAMPLES


class FleetIndexTest(unittest.TestCase):
    """The index of the example fleet ``chanthavong.toml``."""

    def setUp(self) -> None:
        """Read the example."""
        text = (EXAMPLES / 'chanthavong.toml').read_text()
        self.fleet = parse_fleet(text, 'chanthavong.toml').unwrap()
        self.index = FleetIndex(self.fleet)

    def test_names(self) -> None:
        """Look-ups by API key, priority and model find their entries."""
        workspace = self.index.workspace_for_key('example-key-phone-line')
        self.assertEqual(workspace, self.fleet.workspaces[1])
        self.assertIsNone(self.index.workspace_for_key('phone-line'))
        self.assertEqual(self.index.priority_of(workspace).name, 'seat-sale')
        names = [
            entry.name for entry in self.index.upstreams_for_model('fare-notes')
        ]
        self.assertEqual(names, ['ticket-desk'])
        self.assertEqual(self.index.upstreams_for_model(''), ())

    def test_paths(self) -> None:
        """A prefix matches complete segments; dot segments never match."""
        booking = self.fleet.services[0]
        for path, service in (
            ('/booking', booking),
            ('/booking/holds?x=/', booking),
            ('//booking//holds', booking),
            ('/bookings', None),
            ('/', None),
            ('/booking/../v1/models', None),
            ('/booking/%2e%2E/v1', None),
        ):
            with self.subTest(path=path):
                self.assertEqual(self.index.service_for_path(path), service)

    def test_repeatable(self) -> None:
        """Rules apply before the method; other spellings don't bypass them."""
        booking = self.fleet.services[0]
        for method, path, repeatable in (
            ('GET', '/booking/holds/7', True),
            ('DELETE', '/booking/holds/7', True),
            ('POST', '/booking/holds', False),
            ('POST', '/booking/other', False),
            ('POST', '/booking/seats/search', True),
            ('PATCH', '/booking/holds/7', False),
            ('PUT', '/booking/holds/7', True),
            ('PUT', '/booking/holds/7/confirm', False),
            ('put', '/booking//holds/7/%63onfirm/?again=1', False),
            ('PUT', '/booking/x/../holds/7/confirm', False),
        ):
            with self.subTest(method=method, path=path):
                self.assertEqual(
                    self.index.is_repeatable(booking, method, path),
                    repeatable,
                )

    def test_most_specific_rule_applies(self) -> None:
        """A literal segment has precedence over a parameter in any order."""
        service = self.fleet.services[0]._replace(
            calls=(
                ServiceCall('POST', '/booking/{any}', False),
                ServiceCall('POST', '/booking/quote', True),
            )
        )
        index = FleetIndex(self.fleet._replace(services=(service,)))
        self.assertTrue(index.is_repeatable(service, 'POST', '/booking/quote'))
        self.assertFalse(index.is_repeatable(service, 'POST', '/booking/buy'))
