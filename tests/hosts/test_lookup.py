"""Detects requests that reach the wrong route, workspace or service.

Prefixes of routes overlap, and the query of a request can contain another
prefix. If ``/x/y/`` matched ``/x/yy/``, or a shorter prefix were preferred, a
request would reach another route.
"""

from __future__ import annotations

import unittest
from collections import Counter

from snipebend.hosts.lookup import HostIndex, pick_service
from snipebend.hosts.model import (
    HostRoute,
    HostTable,
    HostWorkspace,
    RequestKind,
    TrafficSplit,
)


def route(name, host, prefix):
    return HostRoute(
        name,
        host,
        prefix,
        RequestKind.SAFE,
        1.0,
        0.2,
        1,
        (TrafficSplit('s', 1),),
        2,
    )


INDEX = HostIndex(
    HostTable(
        1,
        (
            route('root', 'a.example', '/'),
            route('long', 'a.example', '/x/y/'),
            route('short', 'a.example', '/x/'),
            route('other', 'b.example', '/x/'),
        ),
        workspaces=(HostWorkspace('w', ('k1', 'k2')),),
    )
)


class TestFindRoute(unittest.TestCase):
    """The route with the longest matching prefix is found."""

    def test_longest_prefix(self):
        cases = {
            '/x/y/z': 'long',
            '/x/y/': 'long',
            '/x/y': 'short',
            '/x/yy/z': 'short',
            '/x': 'root',
            '/': 'root',
            '/x/?q=/x/y/': 'short',
        }
        for target, name in cases.items():
            with self.subTest(target=target):
                found = INDEX.find_route('a.example', target)
                self.assertEqual(found.name, name)

    def test_no_route(self):
        for host, target in (('b.example', '/'), ('c.example', '/x/')):
            with self.subTest(host=host):
                self.assertIsNone(INDEX.find_route(host, target))


class TestWorkspaces(unittest.TestCase):
    """API keys and their workspaces."""

    def test_owner(self):
        self.assertEqual(INDEX.find_workspace('k2').name, 'w')
        self.assertIsNone(INDEX.find_workspace('k3'))
        self.assertTrue(INDEX.requires_keys)


class TestPickService(unittest.TestCase):
    """Services are selected by weight."""

    def test_shares(self):
        split = route('r', 'h', '/')._replace(
            splits=(
                TrafficSplit('s', 90),
                TrafficSplit('none', 0),
                TrafficSplit('t', 10),
            )
        )
        selected = Counter(
            pick_service(split, number / 1000) for number in range(1000)
        )
        self.assertEqual(selected, {'s': 900, 't': 100})
