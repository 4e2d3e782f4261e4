"""The live ranks of a group and their reports, as known by a coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.switch_messages import MapStamp

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.experts.switch_messages import RankReport, SwitchDecision


class RankRoster:
    """The ranks considered alive, with the newest report of each."""

    def __init__(self, fence: int) -> None:
        """Create an empty roster that accepts only reports with ``fence``.

        A rank sends a report with a lower fence before it receives an order of
        this coordinator, so such a report can be arbitrarily late.
        """
        self.announced: tuple[str, ...] | None = None
        self._fence = fence
        self._reports: dict[str, RankReport] = {}

    def announce(self, ranks: Iterable[str]) -> None:
        """Set the ranks considered alive and remove all others."""
        self.announced = tuple(sorted(ranks))
        for lost in self._reports.keys() - set(self.announced):
            self._reports.pop(lost)

    def record(self, report: RankReport) -> bool:
        """Store a report; return False if it is outdated or repeated."""
        if report.fence != self._fence or not self._is_alive(report.rank):
            return False
        known = self._reports.get(report.rank)
        if known is not None and _order(report) <= _order(known):
            return False
        self._reports[report.rank] = report
        return True

    def find(self, rank: str) -> RankReport | None:
        """Return the newest report of a rank."""
        return self._reports.get(rank)

    def is_complete(self) -> bool:
        """Return whether every live rank has reported."""
        return self.announced is not None and all(
            rank in self._reports for rank in self.announced
        )

    def life_by_rank(self, members: Iterable[str]) -> dict[str, int]:
        """Return the life of each member; all members must have reported."""
        return {rank: self._reports[rank].life for rank in members}

    def ranks_without_map(self) -> frozenset[str]:
        """Return the ranks that have installed no map since they started."""
        return frozenset(
            rank
            for rank, report in self._reports.items()
            if report.installed == MapStamp()
        )

    def next_step(self) -> int:
        """Return the first step that no rank has entered."""
        steps = [report.next_step for report in self._reports.values()]
        return max(steps, default=0)

    def has_unfit_member(self, decision: SwitchDecision) -> bool:
        """Return whether a member cannot continue under a committed decision.

        Such a member is lost, or has neither installed nor promised the map,
        for example after a restart. A member that has not reported yet does not
        count as unfit.
        """
        return any(self._is_unfit(rank, decision) for rank in decision.members)

    def all_installed(self, decision: SwitchDecision) -> bool:
        """Return whether every member knows a decision."""
        return not self.to_activate(decision)

    def to_activate(self, decision: SwitchDecision) -> list[str]:
        """Return the members that do not know a decision."""
        return [
            rank
            for rank in decision.members
            if rank not in self._reports
            or self._reports[rank].installed != decision.stamp
        ]

    def _is_alive(self, rank: str) -> bool:
        return self.announced is not None and rank in self.announced

    def _is_unfit(self, rank: str, decision: SwitchDecision) -> bool:
        if not self._is_alive(rank):
            return self.announced is not None
        report = self._reports.get(rank)
        return report is not None and decision.stamp not in {
            report.installed,
            report.prepared,
        }


def _order(report: RankReport) -> tuple[int, int]:
    return (report.life, report.sequence)
