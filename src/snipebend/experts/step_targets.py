"""Choice of the ranks that may relieve the hottest rank of a layer; no I/O.

The coolest ranks are the best targets if all ranks are equally fast. If some
are slow, the coolest ranks are soon the slow ones that were relieved already,
or ranks without room for another expert, and a search among these stops with
several times the heat that other targets would permit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

if TYPE_CHECKING:
    from numpy.typing import NDArray

    Floats = NDArray[np.float64]
    Flags = NDArray[np.bool_]
    Indices = NDArray[np.intp]

#: Number of ranks that are considered as the target of a step: further ones
#: hardly reduce the skew.
MAX_TARGETS = 6

#: Slowness relative to the fastest rank from which a rank counts as slow.
SLOW_THRESHOLD = 1.5


class RankRoom(NamedTuple):
    """What each rank can take now, by rank."""

    #: Whether it may fetch another expert in this change.
    can_fetch: Flags
    #: Whether it has a free place.
    has_place: Flags
    #: Whether it holds an expert that another rank holds, too.
    can_drop: Flags


def find_slow_ranks(slowness: Floats) -> Flags:
    """Return by rank whether it is slower than the fastest one."""
    slow: Flags = slowness >= SLOW_THRESHOLD * slowness.min()
    return slow


def coolest_targets(hot: int, heat: Floats) -> Indices:
    """Return the targets of steps from rank ``hot`` among equal ranks."""
    by_heat = heat.argsort()
    targets: Indices = by_heat[by_heat != hot][:MAX_TARGETS]
    return targets


def uneven_targets(
    hot: int, heat_after: Floats, slow: Flags, room: RankRoom
) -> Indices:
    """Return the targets of steps from rank ``hot`` if ranks differ in speed.

    ``heat_after`` is the heat of each rank with one more expert of mean load,
    which a slow rank can take less easily than its own heat shows. Ranks with a
    free place are targets, too, and a slow rank may give its experts to any
    rank that isn't slow and can take one without returning another.
    """
    by_heat = heat_after.argsort()
    by_heat = by_heat[by_heat != hot]
    able = by_heat[room.can_fetch[by_heat]]
    if slow[hot]:
        able = able[~slow[able]]
    with_place = able[room.has_place[able]][:MAX_TARGETS]
    targets = [by_heat[:MAX_TARGETS], with_place]
    if slow[hot]:
        can_exchange = room.can_drop & ~room.has_place
        targets.append(able[can_exchange[able]][:MAX_TARGETS])
    return np.unique(np.concatenate(targets))
