"""The reports by which entries tell each other what may end upstreams.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Longest time that a report is under way to another entry. The times in it are
#: late by an unknown part of that when they are received.
REPORT_DELAY_S = 0.1


class UpstreamEnd(NamedTuple):
    """The end of an upstream under a call; monotonic seconds."""

    #: When the call began.
    began_at: float
    ended_at: float
    #: Whether the upstream had begun the response to the call, or to another
    #: one with the same suspect.
    responding: bool = False


class CrashReport(Struct, frozen=True, array_like=True):
    """An entry's report to the others about one suspect."""

    #: The upstreams that ended, in the order of their ends.
    incarnations: tuple[str, ...]
    #: Seconds since the last one ended.
    age_s: float
    #: Seconds since each of them ended, and since its call began. Earlier
    #: versions send neither.
    ended_ages_s: tuple[float, ...] = ()
    began_ages_s: tuple[float, ...] = ()
    #: Whether each of them had begun a response.
    responding: tuple[bool, ...] = ()
    #: Fingerprints of the requests, a few of them.
    requests: tuple[str, ...] = ()
    #: Seconds since a response was last survived, since one was in progress,
    #: and since a trial, at the reporting entry; None if there was none.
    survived_age_s: float | None = None
    active_age_s: float | None = None
    trial_age_s: float | None = None

    def ends(self, now: float) -> Iterator[tuple[str, UpstreamEnd]]:
        """Return the end of each upstream, received at ``now``.

        Calls are taken to have begun at the earliest possible time.
        """
        unknown = tuple(self.age_s for _ in self.incarnations)
        ended_ages_s = self.ended_ages_s or unknown
        began_ages_s = self.began_ages_s or ended_ages_s
        responding = self.responding or tuple(True for _ in self.incarnations)
        for incarnation, ended_age_s, began_age_s, is_responding in zip(
            self.incarnations,
            ended_ages_s,
            began_ages_s,
            responding,
            strict=False,
        ):
            yield (
                incarnation,
                UpstreamEnd(
                    now - began_age_s - REPORT_DELAY_S,
                    now - ended_age_s,
                    is_responding,
                ),
            )
