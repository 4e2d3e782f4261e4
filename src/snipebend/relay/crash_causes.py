"""Tells the causes of upstreams' ends from what merely ran there.

Performs no I/O.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from snipebend.hashing.part_keys import is_part_key
from snipebend.relay.crash_moments import KnownEnds
from snipebend.relay.crash_suspect import MIN_REQUESTS

if TYPE_CHECKING:
    from collections.abc import Collection, Container, Mapping

    from snipebend.relay.crash_suspect import CrashSuspect

#: Further ends before a part counts as a cause that was served before.
FURTHER_ENDS = 2


def find_causes(
    suspects: Mapping[str, CrashSuspect],
    known: Collection[str],
    crash_limit: int,
) -> list[str]:
    """Return the suspects under which at least ``crash_limit`` upstreams ended.

    Ends of which the ``known`` causes are the reason don't count. What was
    never served explains an end better than what was.
    """
    explained = _list_ends(suspects, known)
    candidates = {
        key: suspect
        for key, suspect in suspects.items()
        if key not in known and len(suspect.ends) >= crash_limit
    }
    if not candidates:
        return []
    ends = KnownEnds(suspects.values(), explained)
    found: list[str] = []
    for has_survivals in (False, True):
        eligible = {
            key: suspect
            for key, suspect in candidates.items()
            if suspect.has_survivals is has_survivals
        }
        found += _select(eligible, ends, explained, crash_limit)
    return found


def find_refuted(
    suspects: Mapping[str, CrashSuspect],
    known: Collection[str],
    crash_limit: int,
) -> set[str]:
    """Return the ``known`` causes that later ends show to be sound.

    Of upstreams that fail together, those with the suspect may be known first.
    """
    doubtful = {
        key: suspects[key]
        for key in known
        if is_part_key(key) and not suspects[key].has_survivals
    }
    if not doubtful:
        return set()
    ends = KnownEnds(suspects.values(), ())
    return {
        key
        for key, suspect in doubtful.items()
        if suspect.count_separate_ends((), ends) < crash_limit
    }


def _select(
    candidates: dict[str, CrashSuspect],
    ends: KnownEnds,
    explained: set[str],
    crash_limit: int,
) -> list[str]:
    """Return the suspects that explain most ends, then those left over.

    Adds the ends to ``explained``.
    """
    causes: list[str] = []
    remaining = candidates
    while remaining:
        counts = {
            key: _count(key, suspect, ends, explained, crash_limit)
            for key, suspect in remaining.items()
        }
        most = max(counts.values())
        if not most:
            break
        found = [key for key, count in counts.items() if count == most]
        causes += found
        explained.update(_list_ends(candidates, found))
        # Counts only fall while more is explained.
        remaining = {
            key: remaining[key]
            for key, count in counts.items()
            if 0 < count < most
        }
    return causes


def _count(
    key: str,
    suspect: CrashSuspect,
    ends: KnownEnds,
    explained: Container[str],
    crash_limit: int,
) -> int:
    """Return the ends that count against a suspect; 0 below the limit."""
    if not is_part_key(key):
        count = len(suspect.list_ends(explained))
        return count if count >= crash_limit else 0
    if len(suspect.requests) < MIN_REQUESTS:
        return 0
    limit = crash_limit
    if suspect.has_survivals:
        limit += FURTHER_ENDS
    # The cause has the same count as what always comes with it. Upstreams may
    # end in the middle of its responses: activity spares it only once.
    if suspect.is_active:
        limit += 1
    count = suspect.count_separate_ends(explained, ends)
    return count if count >= limit else 0


def _list_ends(
    suspects: Mapping[str, CrashSuspect], keys: Collection[str]
) -> set[str]:
    """Return the ends of which prompt parts are the reason."""
    ends = (suspects[key].ends for key in keys if is_part_key(key))
    return set(chain.from_iterable(ends))
