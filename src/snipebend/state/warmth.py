"""What control daemons hear of upstreams that are cold or warm.

It lasts for seconds and each heartbeat repeats it, so it is not stored in the
replicated state: each daemon keeps what it hears itself, and entries merge what
all daemons report. Performs no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import IntEnum
from itertools import islice, takewhile
from typing import NamedTuple

from msgspec import Struct

#: Seconds without a heartbeat after which a daemon no longer vouches for what
#: it heard: more than two heartbeats, and less than a process takes to stop,
#: start and take requests again unnoticed.
SILENT_AFTER_S = 3.0

#: Upstreams that one daemon reports; those that it heard least recently are
#: left out, and so count as cold.
MAX_HEARD = 8192


class Warmth(IntEnum):
    """What a daemon last heard of an upstream."""

    #: It was silent, or a heartbeat said nothing of its warmth.
    UNKNOWN = 0
    COLD = 1
    WARM = 2


class WarmthReport(Struct, frozen=True, array_like=True):
    """A daemon's report on one incarnation of an upstream."""

    upstream: str
    warmth: Warmth
    #: Start time of the incarnation in Unix milliseconds; 0 if not stated.
    born: int = 0
    #: Number of the heartbeat, by which reports of several daemons are put in
    #: order whatever their clocks; 0 if not stated.
    number: int = 0


#: Above it, a number can't be encoded for other VMs.
MAX_NUMBER = 0x7FFF_FFFF_FFFF_FFFF

_MS = 1000


class WarmthHearing(NamedTuple):
    """The content of one heartbeat that concerns the upstream's warmth."""

    upstream: str
    born: int
    number: int
    #: Seconds for which it stays cold; None if the heartbeat does not say.
    cold_s: float | None


def read_hearing(
    upstream: str, born: object, number: object, cold_ms: object
) -> WarmthHearing:
    """Return a hearing; fields that are doubtful count as not stated."""
    cold_s: float | None = None
    if isinstance(cold_ms, (int, float)) and not isinstance(cold_ms, bool):
        cold_s = cold_ms / _MS if 0 <= cold_ms < MAX_NUMBER else None
    return WarmthHearing(
        upstream, _read_number(born), _read_number(number), cold_s
    )


def _read_number(field: object) -> int:
    if isinstance(field, bool) or not isinstance(field, int):
        return 0
    return field if 0 <= field < MAX_NUMBER else 0


class _LastHeard(NamedTuple):
    """The last heartbeat of an upstream."""

    #: Monotonic seconds.
    at: float
    number: int


class WarmthChange(NamedTuple):
    """A changed report, for the log."""

    report: WarmthReport
    #: Seconds for which the upstream stays cold, if it says so.
    cold_s: float | None


class WarmthLog:
    """The reports of one daemon, in the order of their last change."""

    def __init__(self) -> None:
        """Create a log of nothing heard."""
        #: Number of changes so far; watchers are sent what is newer.
        self.revision = 0
        #: Revision and report by upstream, the latest change last.
        self._reports: OrderedDict[str, tuple[int, WarmthReport]] = (
            OrderedDict()
        )
        #: The last heartbeat of each upstream, the latest last.
        self._heard: OrderedDict[str, _LastHeard] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of upstreams with a report."""
        return len(self._reports)

    def hear(self, hearing: WarmthHearing, now: float) -> WarmthChange | None:
        """Apply a heartbeat; return the report if it has changed.

        One of a former incarnation, or one that later ones have overtaken,
        changes nothing.
        """
        upstream = hearing.upstream
        _, known = self._reports.get(upstream, (0, None))
        if known is not None and self._is_outdated(hearing, known):
            return None
        heard = self._heard.get(upstream)
        is_skipping = heard is not None and hearing.number > heard.number + 1
        self._heard[upstream] = _LastHeard(now, hearing.number)
        self._heard.move_to_end(upstream)
        if len(self._heard) > MAX_HEARD:
            self.remove(next(iter(self._heard)))
        warmth = _warmth_of(hearing.cold_s)
        # Other daemons may have heard what was skipped, and report it warm.
        is_news = is_skipping and warmth is Warmth.COLD
        if known is not None and _is_same(known, warmth, hearing.born):
            if not is_news:
                return None
        report = WarmthReport(upstream, warmth, hearing.born, hearing.number)
        self._put(report)
        return WarmthChange(report, hearing.cold_s)

    def remove(self, upstream: str) -> None:
        """Withdraw the report on an upstream."""
        heard = self._heard.pop(upstream, None)
        if heard is None:
            return
        _, report = self._reports[upstream]
        if report.warmth is not Warmth.UNKNOWN:
            self._put(
                WarmthReport(
                    upstream, Warmth.UNKNOWN, report.born, heard.number
                )
            )
        self._drop_oldest_unknown()

    def remove_silent(self, now: float) -> list[str]:
        """Withdraw reports on upstreams that are silent, and return these."""
        oldest = now - SILENT_AFTER_S
        silent: list[str] = []
        for upstream, heard in self._heard.items():
            if heard.at >= oldest:
                break
            silent.append(upstream)
        for upstream in silent:
            self.remove(upstream)
        return silent

    def reports_since(
        self, revision: int, max_reports: int
    ) -> tuple[tuple[WarmthReport, ...], int]:
        """Return the oldest reports newer than a revision, and how far they go.

        The second figure is the revision to ask with next.
        """
        newer = list(
            takewhile(
                lambda pair: pair[0] > revision,
                reversed(self._reports.values()),
            )
        )
        newer.reverse()
        if len(newer) <= max_reports:
            return tuple(report for _, report in newer), self.revision
        sent = newer[:max_reports]
        return tuple(report for _, report in sent), sent[-1][0]

    def _is_outdated(self, hearing: WarmthHearing, known: WarmthReport) -> bool:
        if hearing.born and known.born and hearing.born != known.born:
            return hearing.born < known.born
        heard = self._heard.get(hearing.upstream)
        if heard is None and not known.born:
            # It may have started anew, with new numbers.
            return False
        last = known.number if heard is None else heard.number
        return 0 < hearing.number <= last

    def _put(self, report: WarmthReport) -> None:
        self.revision += 1
        self._reports[report.upstream] = (self.revision, report)
        self._reports.move_to_end(report.upstream)

    def _drop_oldest_unknown(self) -> None:
        """Forget withdrawn reports once there are too many of them.

        Watchers that are still to be told of them hold the rest by then: they
        are thousands of changes behind, which takes longer than their time-out.
        """
        excess = len(self._reports) - 2 * MAX_HEARD
        if excess <= 0:
            return
        unknown = (
            upstream
            for upstream, (_, report) in self._reports.items()
            if report.warmth is Warmth.UNKNOWN and upstream not in self._heard
        )
        for upstream in tuple(islice(unknown, excess)):
            self._reports.pop(upstream)


def _warmth_of(cold_s: float | None) -> Warmth:
    if cold_s is None:
        return Warmth.UNKNOWN
    return Warmth.COLD if cold_s > 0 else Warmth.WARM


def _is_same(known: WarmthReport, warmth: Warmth, born: int) -> bool:
    return known.warmth is warmth and known.born == born
