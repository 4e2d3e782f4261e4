"""A watcher's copy must equal the directory after any changes.

A watcher receives the full list once and then only deltas, so that a single
wrong delta, or a reconnect, would leave its copy wrong. Frequent changes of
load must be sent as small deltas with a bounded error.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import msgpack, structs

from snipebend.membership.directory_delta import DirectoryCopy, WatcherView
from snipebend.membership.messages import Announcement, Phase

_NAMES = ('a', 'b', 'c', 'd')


def _announcement(name: str, phase: Phase, running: int) -> Announcement:
    return Announcement(
        upstream=name,
        policy='drafting',
        data_center='dc-1',
        http_address='127.0.0.1:1',
        grpc_address='127.0.0.1:2',
        incarnation=1,
        sequence=running,
        phase=phase,
        running=running,
    )


_DIRECTORIES = st.dictionaries(
    st.sampled_from(_NAMES),
    st.tuples(st.sampled_from(Phase), st.integers(0, 3)),
)


class DirectoryDeltaTest(unittest.TestCase):
    """Deltas reproduce the directory, and load changes stay small."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(_DIRECTORIES, st.booleans())))
    def test_copy_equals_directory(
        self,
        rounds: list[tuple[dict[str, tuple[Phase, int]], bool]],
    ) -> None:
        view = WatcherView()
        copy = DirectoryCopy()
        for directory, reconnects in rounds:
            if reconnects:
                view = WatcherView()
            fresh = tuple(
                _announcement(name, phase, running)
                for name, (phase, running) in directory.items()
            )
            copy.apply(view.advance(fresh, 1))
            self.assertEqual(_summarize(copy.upstreams()), _summarize(fresh))

    def test_a_change_of_load_alone_is_three_numbers(self) -> None:
        view = WatcherView()
        view.advance((_announcement('a', Phase.SERVING, 1),), 1)
        unchanged = view.advance((_announcement('a', Phase.SERVING, 1),), 1)
        self.assertTrue(unchanged.is_empty())
        changed = view.advance((_announcement('a', Phase.SERVING, 2),), 1)
        self.assertEqual(len(changed.loads), 1)
        self.assertEqual(changed.joined, ())

    def test_a_sent_load_has_a_bounded_error(self) -> None:
        view = WatcherView()
        copy = DirectoryCopy()
        sent = 0
        for running in (40, 41, 43, 44, 45, 47, 30, 1, 0, 1):
            delta = view.advance(
                (_announcement('a', Phase.SERVING, running),), 1
            )
            sent += bool(delta.loads)
            copy.apply(delta)
            copied = copy.upstreams()[0].running
            self.assertLessEqual(abs(copied - running), 0.1 * copied)
        self.assertEqual(sent, 5)

    def test_cache_use_is_sent_in_steps_separately_from_load(self) -> None:
        view = WatcherView()
        copy = DirectoryCopy()
        received = []
        for running, kv_use in ((1, 0), (1, 0.04), (9, 0.08), (9, 0.11)):
            announcement = _announcement('a', Phase.SERVING, running)
            announcement = structs.replace(announcement, kv_use=kv_use)
            delta = view.advance((announcement,), 1)
            copy.apply(msgpack.decode(msgpack.encode(delta), type=type(delta)))
            copied = copy.upstreams()[0]
            received.append((copied.running, copied.kv_use, len(delta.loads)))
        self.assertEqual(
            received, [(1, 0, 0), (1, 0, 0), (9, 0.08, 1), (9, 0.08, 0)]
        )


def _summarize(
    upstreams: tuple[Announcement, ...],
) -> set[tuple[str, Phase, int]]:
    return {(one.upstream, one.phase, one.running) for one in upstreams}
