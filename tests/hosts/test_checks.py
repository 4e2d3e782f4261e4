"""Ensures that a faulty host table is rejected.

A configuration can refer to an unknown service, define a route twice, lack a
timeout, or give one API key to two workspaces. Such a table must be rejected
with a message that names the fault but not the key.
"""

from __future__ import annotations

import unittest

from snipebend.hosts.checks import find_problems
from snipebend.hosts.model import (
    HostRoute,
    HostService,
    HostTable,
    HostWorkspace,
    RequestKind,
    TrafficSplit,
)

ROUTE = HostRoute(
    'r',
    'h.example',
    '/a/',
    RequestKind.SAFE,
    1.0,
    0.2,
    1,
    (TrafficSplit('s', 1),),
    2,
)
VALID_TABLE = HostTable(
    1,
    (ROUTE,),
    (HostService('s', '/healthz', 10),),
    (HostWorkspace('w', ('key-1', 'key-2')),),
)


class TestProblems(unittest.TestCase):
    """Faults that make a table invalid."""

    def test_valid_table(self):
        self.assertEqual(find_problems(VALID_TABLE), ())

    def test_unknown_service(self):
        route = ROUTE._replace(splits=(TrafficSplit('t', 1),))
        self._expect('unknown service', VALID_TABLE._replace(routes=(route,)))

    def test_two_routes_with_one_host_and_prefix(self):
        duplicate = ROUTE._replace(name='twin')
        self._expect(
            '2 routes', VALID_TABLE._replace(routes=(ROUTE, duplicate))
        )

    def test_weights_that_add_up_to_zero(self):
        route = ROUTE._replace(
            splits=(TrafficSplit('s', 0), TrafficSplit('s', 0))
        )
        self._expect('weights', VALID_TABLE._replace(routes=(route,)))

    def test_negative_weight(self):
        route = ROUTE._replace(
            splits=(TrafficSplit('s', 3), TrafficSplit('s', -1))
        )
        self._expect('weights', VALID_TABLE._replace(routes=(route,)))

    def test_no_timeout(self):
        route = ROUTE._replace(timeout_s=0)
        self._expect('timeout', VALID_TABLE._replace(routes=(route,)))

    def test_prefix_without_slashes(self):
        route = ROUTE._replace(prefix='/a')
        self._expect('prefix', VALID_TABLE._replace(routes=(route,)))

    def test_shared_key_is_named_without_the_key(self):
        others = (*VALID_TABLE.workspaces, HostWorkspace('v', ('key-2',)))
        found = self._expect(
            'share a key', VALID_TABLE._replace(workspaces=others)
        )
        self.assertNotIn('key-2', found)

    def test_one_workspace_may_list_a_key_twice(self):
        table = VALID_TABLE._replace(
            workspaces=(HostWorkspace('w', ('k', 'k')),)
        )
        self.assertEqual(find_problems(table), ())

    def _expect(self, text, table):
        found = find_problems(table)
        self.assertEqual(len(found), 1, found)
        self.assertIn(text, found[0])
        return found[0]
