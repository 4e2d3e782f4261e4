"""Rules that derive a group's next action from its record and rank reports."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from snipebend.experts.switch_messages import (
    Activate,
    GroupRecord,
    MapStamp,
    Prepare,
    StatusQuery,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.experts.switch_events import MapProposed
    from snipebend.experts.switch_messages import RankOrder, SwitchDecision
    from snipebend.experts.switch_roster import RankRoster
    from snipebend.experts.switch_states import Preparing


class GroupNeed(Enum):
    """The action that a group requires while no switch is running."""

    NOTHING = 'nothing'
    BUMP = 'bump'
    MAP = 'map'


class PromiseCheck(Enum):
    """The combined status of the members' promises."""

    MISSING = 'missing'
    COMPLETE = 'complete'
    TOO_LATE = 'too-late'
    MEMBER_LOST = 'member-lost'


def base_stamp(record: GroupRecord) -> MapStamp:
    """Return the stamp of the decision in force, or the empty one."""
    return record.decision.stamp if record.decision else MapStamp()


def awaits_map(record: GroupRecord) -> bool:
    """Return whether the record's incarnation has no map yet."""
    return base_stamp(record).incarnation < record.incarnation


def first_unentered_step(record: GroupRecord, roster: RankRoster) -> int:
    """Return a step that no rank has entered in any incarnation."""
    decided = record.decision.step if record.decision else 0
    return max(roster.next_step(), decided)


def determine_need(
    record: GroupRecord,
    roster: RankRoster,
    ranks: int,
) -> GroupNeed:
    """Compare the live ranks with the members of the committed decision.

    The first incarnation starts once all ``ranks`` of the group are alive.
    """
    members = roster.announced
    if not members or not roster.is_complete():
        return GroupNeed.NOTHING
    if awaits_map(record):
        return GroupNeed.MAP
    decision = record.decision
    if decision is None:
        complete = len(members) >= ranks
        return GroupNeed.BUMP if complete else GroupNeed.NOTHING
    if decision.members != members or roster.has_unfit_member(decision):
        return GroupNeed.BUMP
    return GroupNeed.NOTHING


def is_applicable(
    proposal: MapProposed,
    record: GroupRecord,
    roster: RankRoster,
) -> bool:
    """Return whether a map was computed for the live ranks and incarnation."""
    return (
        roster.is_complete()
        and proposal.incarnation == record.incarnation
        and proposal.members == roster.announced
    )


def exclude_fetched(state: Preparing, roster: RankRoster) -> MapProposed:
    """Return the proposal without the weights that members already have."""
    remaining = dict(state.proposal.fetch_bytes)
    for rank in state.decision.members:
        report = roster.find(rank)
        if report is not None and state.decision.stamp in {
            report.prepared,
            report.too_late,
        }:
            remaining[rank] = 0
    return state.proposal._replace(fetch_bytes=remaining)


def check_promises(state: Preparing, roster: RankRoster) -> PromiseCheck:
    """Compare the members' reports with the decision being prepared."""
    stamp = state.decision.stamp
    reports = [roster.find(rank) for rank in state.decision.members]
    known = [report for report in reports if report is not None]
    if len(known) < len(reports) or any(
        report.life != state.life_by_rank[report.rank] for report in known
    ):
        return PromiseCheck.MEMBER_LOST
    if any(report.too_late == stamp for report in known):
        return PromiseCheck.TOO_LATE
    if all(report.prepared == stamp for report in known):
        return PromiseCheck.COMPLETE
    return PromiseCheck.MISSING


class OrderFactory(NamedTuple):
    """Creates the orders of one coordinator."""

    group: str
    fence: int

    def query(self) -> RankOrder:
        """Return an order that requests a report."""
        return StatusQuery(self.group, self.fence)

    def activate(self, record: GroupRecord) -> RankOrder:
        """Return an order that carries the committed record."""
        return Activate(self.group, self.fence, record)

    def prepare(self, rank: str, state: Preparing) -> RankOrder:
        """Return an order that requests a rank's promise."""
        return Prepare(
            self.group,
            self.fence,
            state.life_by_rank[rank],
            state.base,
            state.decision,
            state.proposal.fetch_bytes.get(rank, 0),
            state.fetch_at.get(rank, 0),
        )


def members_without_promise(
    decision: SwitchDecision,
    roster: RankRoster,
) -> Iterable[str]:
    """Yield the members that have not promised yet."""
    for rank in decision.members:
        report = roster.find(rank)
        if report is None or report.prepared != decision.stamp:
            yield rank
