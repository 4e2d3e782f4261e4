"""What control daemons report of cold and warm upstreams, merged by an entry.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.state.warmth import Warmth

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.state.warmth import WarmthReport


class _Ranked(NamedTuple):
    """A report with the order of its arrival."""

    born: int
    #: Whether it says cold, without a start time: numbers may have begun anew,
    #: so that they don't tell which of two daemons heard the later lifetime.
    is_cold_unborn: bool
    number: int
    arrival: int
    report: WarmthReport


class ReportedWarmth:
    """The latest report on each upstream, of those that still stand.

    Heartbeats are numbered by their upstream, so that the latest is known
    whichever daemon heard it and whenever its report arrives.
    """

    def __init__(self) -> None:
        """Create an empty table: nothing is known of any upstream."""
        self._by_upstream: dict[str, dict[str, _Ranked]] = {}
        self._latest: dict[str, WarmthReport] = {}
        #: Daemons with reports; others cost nothing to remove.
        self._daemons: set[str] = set()
        self._arrivals = 0

    def apply(
        self, daemon: str, reports: Iterable[WarmthReport]
    ) -> list[WarmthReport]:
        """Apply a daemon's reports; return the changed ones in force."""
        self._daemons.add(daemon)
        return [
            changed
            for report in reports
            if (changed := self._apply_one(daemon, report)) is not None
        ]

    def remove_daemon(self, daemon: str) -> int:
        """Remove the reports of a daemon that is unreachable; count them."""
        if daemon not in self._daemons:
            return 0
        self._daemons.remove(daemon)
        upstreams = [
            upstream
            for upstream, by_daemon in self._by_upstream.items()
            if daemon in by_daemon
        ]
        for upstream in upstreams:
            self._withdraw(daemon, upstream)
        return len(upstreams)

    def find(self, upstream: str) -> WarmthReport | None:
        """Return the report in force on an upstream, if there is one."""
        return self._latest.get(upstream)

    def count(self) -> dict[str, int]:
        """Return the number of upstreams that are reported cold and warm."""
        warm = sum(
            report.warmth is Warmth.WARM for report in self._latest.values()
        )
        return {'warm': warm, 'cold': len(self._latest) - warm}

    def _apply_one(
        self, daemon: str, report: WarmthReport
    ) -> WarmthReport | None:
        known = self._latest.get(report.upstream)
        if report.warmth is Warmth.UNKNOWN:
            self._withdraw(daemon, report.upstream)
        else:
            self._arrivals += 1
            ranked = _Ranked(
                report.born,
                not report.born and report.warmth is Warmth.COLD,
                report.number,
                self._arrivals,
                report,
            )
            self._by_upstream.setdefault(report.upstream, {})[daemon] = ranked
            self._update_latest(report.upstream)
        latest = self._latest.get(report.upstream)
        if latest is None or latest == known:
            return None
        if (
            known is not None
            and known.warmth is latest.warmth
            and known.born == latest.born
        ):
            return None
        return latest

    def _withdraw(self, daemon: str, upstream: str) -> None:
        by_daemon = self._by_upstream.get(upstream)
        if by_daemon is None:
            return
        by_daemon.pop(daemon, None)
        if by_daemon:
            self._update_latest(upstream)
            return
        self._by_upstream.pop(upstream)
        self._latest.pop(upstream, None)

    def _update_latest(self, upstream: str) -> None:
        by_daemon = self._by_upstream[upstream]
        latest = max(by_daemon.values(), key=lambda ranked: ranked[:4])
        self._latest[upstream] = latest.report
