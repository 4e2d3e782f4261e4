"""A watcher's copy follows the directory whatever happens to it."""

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
    """Differences add up to the directory, and loads stay small."""

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
            self.assertEqual(_seen(copy.upstreams()), _seen(fresh))

    def test_a_change_of_load_alone_is_three_numbers(self) -> None:
        view = WatcherView()
        view.advance((_announcement('a', Phase.SERVING, 1),), 1)
        quiet = view.advance((_announcement('a', Phase.SERVING, 1),), 1)
        self.assertTrue(quiet.is_empty())
        busy = view.advance((_announcement('a', Phase.SERVING, 2),), 1)
        self.assertEqual(len(busy.loads), 1)
        self.assertEqual(busy.joined, ())

    def test_a_told_load_is_never_far_off(self) -> None:
        view = WatcherView()
        copy = DirectoryCopy()
        told = 0
        for running in (40, 41, 43, 44, 45, 47, 30, 1, 0, 1):
            delta = view.advance(
                (_announcement('a', Phase.SERVING, running),), 1
            )
            told += bool(delta.loads)
            copy.apply(delta)
            known = copy.upstreams()[0].running
            self.assertLessEqual(abs(known - running), 0.1 * known)
        self.assertEqual(told, 5)

    def test_cache_use_is_told_by_steps_apart_from_the_load(self) -> None:
        view = WatcherView()
        copy = DirectoryCopy()
        shown = []
        for running, kv_use in ((1, 0), (1, 0.04), (9, 0.08), (9, 0.11)):
            news = _announcement('a', Phase.SERVING, running)
            news = structs.replace(news, kv_use=kv_use)
            delta = view.advance((news,), 1)
            copy.apply(msgpack.decode(msgpack.encode(delta), type=type(delta)))
            kept = copy.upstreams()[0]
            shown.append((kept.running, kept.kv_use, len(delta.loads)))
        self.assertEqual(
            shown, [(1, 0, 0), (1, 0, 0), (9, 0.08, 1), (9, 0.08, 0)]
        )


def _seen(
    upstreams: tuple[Announcement, ...],
) -> set[tuple[str, Phase, int]]:
    return {(one.upstream, one.phase, one.running) for one in upstreams}
