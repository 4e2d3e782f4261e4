"""Load reports of many upstreams in one message, only where they changed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from snipebend.membership.messages import Phase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.membership.directory import Member

#: A load is told again when it moved by more than this share, and by one.
CHANGE_SHARE = 0.1
#: One in this many unchanged loads is told with each batch, as a repair.
REFRESH_SHARE = 16


class LoadLine(Struct, frozen=True, array_like=True):
    """One upstream's load; its age is counted in tenths of a second."""

    upstream: str
    incarnation: int
    running: int
    queued: int
    age_ds: int = 0


class LoadBatch(Struct, frozen=True):
    """The loads that changed, and the upstreams that are gone or leaving."""

    number: int
    loads: tuple[LoadLine, ...] = ()
    gone: tuple[str, ...] = ()


class LoadAggregator:
    """Makes the batches for one watcher from the members that it watches."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self._told: dict[str, LoadLine] = {}
        self._number = 0

    def batch(self, members: Iterable[Member], now: float) -> LoadBatch:
        """Return what the watcher has to be told now."""
        self._number += 1
        lines = {
            member.announcement.upstream: _line(member, now)
            for member in members
            if member.announcement.phase is Phase.SERVING
        }
        gone = tuple(name for name in self._told if name not in lines)
        for name in gone:
            self._told.pop(name)
        loads = tuple(
            line
            for place, line in enumerate(lines.values())
            if self._is_due(place, line)
        )
        self._told.update((line.upstream, line) for line in loads)
        return LoadBatch(self._number, loads, gone)

    def _is_due(self, place: int, line: LoadLine) -> bool:
        if (place + self._number) % REFRESH_SHARE == 0:
            return True
        told = self._told.get(line.upstream)
        if told is None or told.incarnation != line.incarnation:
            return True
        before = told.running + told.queued
        moved = abs(line.running + line.queued - before)
        return moved > max(1, CHANGE_SHARE * before)


def _line(member: Member, now: float) -> LoadLine:
    announcement = member.announcement
    return LoadLine(
        announcement.upstream,
        announcement.incarnation,
        announcement.running,
        announcement.queued,
        int(10 * max(0, now - member.heard_at)),
    )
