"""The directory as differences: what one watcher must be told (pure).

A full list costs about 180 bytes an upstream. A watcher gets it once; then it
hears of upstreams that came, changed or went, and of loads that changed as
three small numbers each.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct, structs

from snipebend.membership.messages import Announcement, Phase

#: A count is told again once it has moved by more than this share of what was
#: told last, so that what a watcher knows is never further off.
CHANGE_SHARE = 0.1
#: Likewise for the use of a KV cache, in percent of the cache.
KV_STEP_PERCENT = 5
_PERCENT = 100


class Joined(Struct, frozen=True, array_like=True):
    """An upstream that is new or changed, under its number in this watch."""

    number: int
    announcement: Announcement


class LoadChange(Struct, frozen=True, array_like=True):
    """The load that an upstream reported last."""

    number: int
    running: int
    queued: int


class KvChange(Struct, frozen=True, array_like=True):
    """The use of an upstream's KV cache, in whole percent."""

    number: int
    percent: int


class DirectoryDelta(Struct, frozen=True):
    """One difference; ``reset`` marks the first one of a watch."""

    revision: int
    reset: bool = False
    joined: tuple[Joined, ...] = ()
    left: tuple[int, ...] = ()
    loads: tuple[LoadChange, ...] = ()
    kv_uses: tuple[KvChange, ...] = ()
    #: How many entries follow the directory: they share the limits.
    entries: int = 0

    def is_empty(self) -> bool:
        """Tell whether it changes nothing."""
        changes = (self.joined, self.left, self.loads, self.kv_uses)
        return not self.reset and not any(changes)


class _Known(NamedTuple):
    number: int
    announcement: Announcement


class _Changes(NamedTuple):
    loads: list[LoadChange]
    kv_uses: list[KvChange]


class WatcherView:
    """What one watcher has been told; makes the next difference."""

    def __init__(self) -> None:
        """Begin with a watcher that knows nothing."""
        self._known: dict[str, _Known] = {}
        self._next_number = 0
        self._begun = False

    def advance(
        self,
        fresh: tuple[Announcement, ...],
        revision: int,
    ) -> DirectoryDelta:
        """Return the difference to ``fresh`` and take it as told."""
        joined: list[Joined] = []
        changes = _Changes([], [])
        for announcement in fresh:
            known = self._known.get(announcement.upstream)
            if known is None or not same_member(
                known.announcement, announcement
            ):
                joined.append(self._number(announcement, known))
            else:
                self._tell_use(known, announcement, changes)
        delta = DirectoryDelta(
            revision,
            not self._begun,
            tuple(joined),
            self._forget(fresh),
            tuple(changes.loads),
            tuple(changes.kv_uses),
        )
        self._begun = True
        return delta

    def _tell_use(
        self, known: _Known, news: Announcement, changes: _Changes
    ) -> None:
        """Tell what moved far enough; the rest stays as it was told."""
        told = known.announcement
        if not _same_load(told, news):
            changes.loads.append(_load_change(known.number, news))
            told = structs.replace(
                told, running=news.running, queued=news.queued
            )
        if not _same_kv_use(told, news):
            percent = round(news.kv_use * _PERCENT)
            changes.kv_uses.append(KvChange(known.number, percent))
            told = structs.replace(told, kv_use=percent / _PERCENT)
        if told is not known.announcement:
            self._keep(known.number, told)

    def _number(
        self,
        announcement: Announcement,
        known: _Known | None,
    ) -> Joined:
        number = self._next_number
        if known is None:
            self._next_number += 1
        else:
            number = known.number
        self._keep(number, announcement)
        return Joined(number, announcement)

    def _keep(self, number: int, announcement: Announcement) -> None:
        self._known[announcement.upstream] = _Known(number, announcement)

    def _forget(self, fresh: tuple[Announcement, ...]) -> tuple[int, ...]:
        names = {announcement.upstream for announcement in fresh}
        gone = self._known.keys() - names
        return tuple(sorted(self._known.pop(name).number for name in gone))


class DirectoryCopy:
    """A watcher's copy of the directory."""

    def __init__(self) -> None:
        """Begin empty."""
        self.revision = 0
        self.entries = 1
        self._by_number: dict[int, Announcement] = {}

    def apply(self, delta: DirectoryDelta) -> None:
        """Take a difference in; the first of a watch replaces everything."""
        if delta.reset:
            self._by_number.clear()
        for joined in delta.joined:
            self._by_number[joined.number] = joined.announcement
        for number in delta.left:
            self._by_number.pop(number, None)
        for load in delta.loads:
            self._take_load(load)
        for use in delta.kv_uses:
            self._take_kv_use(use)
        self.revision = delta.revision
        self.entries = max(1, delta.entries)

    def upstreams(self) -> tuple[Announcement, ...]:
        """Return the upstreams with their last known loads."""
        return tuple(self._by_number.values())

    def serving(self) -> int:
        """Return how many upstreams take new work."""
        return sum(
            upstream.phase is Phase.SERVING
            for upstream in self._by_number.values()
        )

    def _take_load(self, load: LoadChange) -> None:
        known = self._by_number.get(load.number)
        if known is not None:
            self._by_number[load.number] = structs.replace(
                known,
                running=load.running,
                queued=load.queued,
            )

    def _take_kv_use(self, use: KvChange) -> None:
        known = self._by_number.get(use.number)
        if known is not None:
            self._by_number[use.number] = structs.replace(
                known, kv_use=use.percent / _PERCENT
            )


def same_member(one: Announcement, other: Announcement) -> bool:
    """Tell whether two announcements differ in load and sequence at most."""
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


def _same_load(told: Announcement, news: Announcement) -> bool:
    return _is_near(told.running, news.running) and _is_near(
        told.queued, news.queued
    )


def _same_kv_use(told: Announcement, news: Announcement) -> bool:
    moved = abs(news.kv_use - told.kv_use) * _PERCENT
    return round(moved) < KV_STEP_PERCENT


def _is_near(told: int, news: int) -> bool:
    return abs(news - told) <= CHANGE_SHARE * told


def _load_change(number: int, announcement: Announcement) -> LoadChange:
    return LoadChange(number, announcement.running, announcement.queued)
