"""Checks across the entries of a host table."""

from __future__ import annotations

import unittest

from snipebend.hosts.checks import problems
from snipebend.hosts.model import (
    HostRoute,
    HostService,
    HostTable,
    HostWorkspace,
    Kind,
    Split,
)

ROUTE = HostRoute(
    'r', 'h.example', '/a/', Kind.SAFE, 1.0, 0.2, 1, (Split('s', 1),), 2
)
SOUND = HostTable(
    1,
    (ROUTE,),
    (HostService('s', '/healthz', 10),),
    (HostWorkspace('w', ('key-1', 'key-2')),),
)


class TestProblems(unittest.TestCase):
    """What forbids a table."""

    def test_sound(self):
        self.assertEqual(problems(SOUND), ())

    def test_unknown_service(self):
        route = ROUTE._replace(splits=(Split('t', 1),))
        self._expect('unknown service', SOUND._replace(routes=(route,)))

    def test_two_routes_at_one_place(self):
        twin = ROUTE._replace(name='twin')
        self._expect('2 routes', SOUND._replace(routes=(ROUTE, twin)))

    def test_weights_that_add_up_to_nothing(self):
        route = ROUTE._replace(splits=(Split('s', 0), Split('s', 0)))
        self._expect('weights', SOUND._replace(routes=(route,)))

    def test_negative_weight(self):
        route = ROUTE._replace(splits=(Split('s', 3), Split('s', -1)))
        self._expect('weights', SOUND._replace(routes=(route,)))

    def test_no_timeout(self):
        route = ROUTE._replace(timeout_s=0)
        self._expect('timeout', SOUND._replace(routes=(route,)))

    def test_prefix_without_slashes(self):
        route = ROUTE._replace(prefix='/a')
        self._expect('prefix', SOUND._replace(routes=(route,)))

    def test_shared_key_is_named_without_the_key(self):
        others = (*SOUND.workspaces, HostWorkspace('v', ('key-2',)))
        found = self._expect('share a key', SOUND._replace(workspaces=others))
        self.assertNotIn('key-2', found)

    def test_one_workspace_may_list_a_key_twice(self):
        table = SOUND._replace(workspaces=(HostWorkspace('w', ('k', 'k')),))
        self.assertEqual(problems(table), ())

    def _expect(self, words, table):
        found = problems(table)
        self.assertEqual(len(found), 1, found)
        self.assertIn(words, found[0])
        return found[0]
