"""Encodes the directory for one watcher as a sequence of deltas.

A full list takes about 180 bytes per upstream. A watcher receives it once.
After that it receives the upstreams that joined, changed or left, and three
small numbers for each changed load. Performs no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct, structs

from snipebend.membership.messages import Announcement, Phase

#: A count is sent again once it differs by more than this share from the value
#: last sent, which bounds the error of a watcher's copy.
CHANGE_SHARE = 0.1
#: The same bound for the use of a KV cache, in percent of the cache.
KV_STEP_PERCENT = 5
_PERCENT = 100


class Joined(Struct, frozen=True, array_like=True):
    """A new or changed upstream.

    Later deltas of the same watch refer to it by ``upstream_number``.
    """

    upstream_number: int
    announcement: Announcement


class LoadChange(Struct, frozen=True, array_like=True):
    """The latest reported load of an upstream."""

    upstream_number: int
    running: int
    queued: int


class KvChange(Struct, frozen=True, array_like=True):
    """The latest reported KV cache use of an upstream, in whole percent."""

    upstream_number: int
    percent: int


class DirectoryDelta(Struct, frozen=True):
    """One delta; ``reset`` marks the first one of a watch.

    ``left`` and the changes of loads refer to upstreams by number.
    """

    revision: int
    reset: bool = False
    joined: tuple[Joined, ...] = ()
    left: tuple[int, ...] = ()
    loads: tuple[LoadChange, ...] = ()
    kv_uses: tuple[KvChange, ...] = ()
    #: Number of entries that follow the directory, which share the limits.
    entries: int = 0

    def is_empty(self) -> bool:
        """Return whether the delta changes no upstream and is not a reset.

        ``entries`` is ignored, since it is set only when the delta is sent.
        """
        changes = (self.joined, self.left, self.loads, self.kv_uses)
        return not self.reset and not any(changes)


class _SentUpstream(NamedTuple):
    upstream_number: int
    announcement: Announcement


class _Changes(NamedTuple):
    loads: list[LoadChange]
    kv_uses: list[KvChange]


class WatcherView:
    """Tracks what was sent to one watcher, and computes the next delta."""

    def __init__(self) -> None:
        """Create the view of a watcher to which nothing was sent."""
        self._sent: dict[str, _SentUpstream] = {}
        self._next_number = 0
        self._is_started = False

    def advance(
        self,
        fresh: tuple[Announcement, ...],
        revision: int,
    ) -> DirectoryDelta:
        """Return the delta to ``fresh``, and record it as sent."""
        joined: list[Joined] = []
        changes = _Changes([], [])
        for announcement in fresh:
            known = self._sent.get(announcement.upstream)
            if known is None or not is_same_member(
                known.announcement, announcement
            ):
                joined.append(self._add_joined(announcement, known))
            else:
                self._add_load_changes(known, announcement, changes)
        delta = DirectoryDelta(
            revision,
            not self._is_started,
            tuple(joined),
            self._remove_missing(fresh),
            tuple(changes.loads),
            tuple(changes.kv_uses),
        )
        self._is_started = True
        return delta

    def _add_load_changes(
        self, known: _SentUpstream, current: Announcement, changes: _Changes
    ) -> None:
        """Add the loads that changed enough; others keep their sent value."""
        sent = known.announcement
        if not _is_same_load(sent, current):
            changes.loads.append(_load_change(known.upstream_number, current))
            sent = structs.replace(
                sent, running=current.running, queued=current.queued
            )
        if not _is_same_kv_use(sent, current):
            percent = round(current.kv_use * _PERCENT)
            changes.kv_uses.append(KvChange(known.upstream_number, percent))
            sent = structs.replace(sent, kv_use=percent / _PERCENT)
        if sent is not known.announcement:
            self._record_sent(known.upstream_number, sent)

    def _add_joined(
        self,
        announcement: Announcement,
        known: _SentUpstream | None,
    ) -> Joined:
        number = self._next_number
        if known is None:
            self._next_number += 1
        else:
            number = known.upstream_number
        self._record_sent(number, announcement)
        return Joined(number, announcement)

    def _record_sent(self, number: int, announcement: Announcement) -> None:
        self._sent[announcement.upstream] = _SentUpstream(number, announcement)

    def _remove_missing(
        self, fresh: tuple[Announcement, ...]
    ) -> tuple[int, ...]:
        names = {announcement.upstream for announcement in fresh}
        removed = self._sent.keys() - names
        return tuple(
            sorted(self._sent.pop(name).upstream_number for name in removed)
        )


class DirectoryCopy:
    """A watcher's copy of the directory, built from deltas."""

    def __init__(self) -> None:
        """Create an empty copy."""
        self.revision = 0
        self.entries = 1
        self._by_number: dict[int, Announcement] = {}

    def apply(self, delta: DirectoryDelta) -> None:
        """Apply a delta; the first one of a watch replaces everything."""
        if delta.reset:
            self._by_number.clear()
        for joined in delta.joined:
            self._by_number[joined.upstream_number] = joined.announcement
        for number in delta.left:
            self._by_number.pop(number, None)
        for load in delta.loads:
            self._apply_load(load)
        for use in delta.kv_uses:
            self._apply_kv_use(use)
        self.revision = delta.revision
        self.entries = max(1, delta.entries)

    def upstreams(self) -> tuple[Announcement, ...]:
        """Return the upstreams with their last received loads."""
        return tuple(self._by_number.values())

    def serving(self) -> int:
        """Return how many upstreams accept new requests."""
        return sum(
            upstream.phase is Phase.SERVING
            for upstream in self._by_number.values()
        )

    def _apply_load(self, load: LoadChange) -> None:
        known = self._by_number.get(load.upstream_number)
        if known is not None:
            self._by_number[load.upstream_number] = structs.replace(
                known,
                running=load.running,
                queued=load.queued,
            )

    def _apply_kv_use(self, use: KvChange) -> None:
        known = self._by_number.get(use.upstream_number)
        if known is not None:
            self._by_number[use.upstream_number] = structs.replace(
                known, kv_use=use.percent / _PERCENT
            )


def is_same_member(one: Announcement, other: Announcement) -> bool:
    """Return whether two announcements describe the same state of a member.

    The sequence, the revision, the load and the use of the KV cache may differ.
    """
    return _membership_of(one) == _membership_of(other)


def _membership_of(announcement: Announcement) -> Announcement:
    return structs.replace(
        announcement,
        sequence=0,
        running=0,
        queued=0,
        revision=0,
        kv_use=0,
    )


def _is_same_load(sent: Announcement, current: Announcement) -> bool:
    return _is_within_share(sent.running, current.running) and _is_within_share(
        sent.queued, current.queued
    )


def _is_same_kv_use(sent: Announcement, current: Announcement) -> bool:
    difference = abs(current.kv_use - sent.kv_use) * _PERCENT
    return round(difference) < KV_STEP_PERCENT


def _is_within_share(sent: int, current: int) -> bool:
    return abs(current - sent) <= CHANGE_SHARE * sent


def _load_change(number: int, announcement: Announcement) -> LoadChange:
    return LoadChange(number, announcement.running, announcement.queued)
