"""Coordinator of one group's expert map switches, run by the control leader.

A state machine without I/O: prepare, commit the decision, activate. It recovers
from the committed record and the ranks' reports alone, so that a new leader can
take over at any point.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

from snipebend.experts.switch_events import (
    CoordinatorAction,
    CoordinatorEvent,
    MapProposed,
    NeedMap,
    PersistDecision,
    RankReported,
    RanksAnnounced,
    RecordCommitted,
    SendOrder,
    Superseded,
    SwitchEnded,
    Tick,
)
from snipebend.experts.switch_group import (
    GroupNeed,
    OrderFactory,
    PromiseCheck,
    awaits_map,
    base_stamp,
    check_promises,
    determine_need,
    exclude_fetched,
    first_unentered_step,
    is_applicable,
    members_without_promise,
)
from snipebend.experts.switch_messages import (
    Abort,
    Bump,
    Decide,
    GroupRecord,
    MapStamp,
    RankOrder,
    RankReport,
    RecordChange,
    SwitchDecision,
    change_record,
)
from snipebend.experts.switch_roster import RankRoster
from snipebend.experts.switch_states import (
    Activating,
    CoordinatorConfig,
    CoordinatorState,
    Idle,
    Persisting,
    Preparing,
    Stopped,
)

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from snipebend.experts.switch_store import StoreSchedule

#: Factor by which the distance to the hold step grows after a rank passed it
#: before it could promise. A retry does not fetch the weights again that ranks
#: already have.
HOLD_GROWTH = 2

#: Retries stop above this factor; the policy can then propose a new map.
MAX_HOLD_FACTOR = 1024

_MIN_JITTER_FACTOR = 0.5

Outcome = Literal['activated', 'aborted', 'interrupted']


class SwitchCoordinator:
    """Coordinates the switches of a group while it holds the group's fence."""

    def __init__(
        self,
        cfg: CoordinatorConfig,
        fence: int,
        record: GroupRecord,
        schedule: StoreSchedule,
    ) -> None:
        """Recover from the committed record.

        A previous coordinator may have prepared the version after the last
        settled one. That version is aborted first, so that no version number
        is used for two different maps.
        """
        self.record = record
        self.roster = RankRoster(fence)
        self.state: CoordinatorState = Persisting(
            Abort(record.settled + 1),
            MapStamp(record.incarnation, record.settled + 1),
        )
        self._cfg = cfg
        self._fence = fence
        self._order_factory = OrderFactory(cfg.group, fence)
        self._schedule = schedule
        self._resend_at = float('-inf')
        self._hold_factor = 1
        self._retry_proposal: MapProposed | None = None
        self._activated = MapStamp()

    def step(
        self,
        event: CoordinatorEvent,
        now: float,
        rng: Random,
    ) -> list[CoordinatorAction]:
        """Handle one event and return the resulting actions in order."""
        if isinstance(self.state, Stopped):
            return []
        actions = self._dispatch(event, now, rng)
        if self._retry_proposal is not None and isinstance(self.state, Idle):
            proposal = self._retry_proposal
            self._retry_proposal = None
            actions += self._propose(proposal, now)
        return actions

    def decide(self, decision: SwitchDecision) -> list[CoordinatorAction]:
        """Commit the decision; activation starts only after the commit."""
        return self._persist(Decide(decision), decision.stamp)

    def start_incarnation(self) -> list[CoordinatorAction]:
        """Start a new incarnation and settle the version being prepared."""
        settled = self.record.settled
        if isinstance(self.state, Preparing):
            settled = self.state.decision.stamp.map_version
        change = Bump(self.record.incarnation + 1, settled)
        return self._persist(change, MapStamp(change.incarnation, settled))

    def _dispatch(
        self,
        event: CoordinatorEvent,
        now: float,
        rng: Random,
    ) -> list[CoordinatorAction]:
        match event:
            case Tick():
                return self._tick(now, rng)
            case MapProposed():
                return self._propose(event, now)
            case RankReported(report):
                return self._note_report(report)
            case RanksAnnounced(ranks):
                self.roster.announce(ranks)
                return self._reconcile()
            case RecordCommitted(record):
                return self._note_commit(record)
            case Superseded():
                self.state = Stopped()
        return []

    def _propose(
        self,
        event: MapProposed,
        now: float,
    ) -> list[CoordinatorAction]:
        applicable = is_applicable(event, self.record, self.roster)
        if not isinstance(self.state, Idle) or not applicable:
            return []
        stamp = MapStamp(event.incarnation, self.record.settled + 1)
        starts = self._schedule.reserve(
            event.fetch_bytes, now, event.rate_share
        )
        if starts is None:
            return [SwitchEnded(stamp, 'deferred')]
        hold_ahead = event.hold_ahead * self._hold_factor
        decision = SwitchDecision(
            stamp,
            first_unentered_step(self.record, self.roster) + hold_ahead,
            event.digest,
            event.members,
            event.placement,
        )
        self.state = Preparing(
            event,
            decision,
            base_stamp(self.record),
            self.roster.life_by_rank(event.members),
            starts,
            now + self._cfg.prepare_s,
        )
        return _send_prepares(self._order_factory, self.state, self.roster)

    def _tick(self, now: float, rng: Random) -> list[CoordinatorAction]:
        if now < self._resend_at:
            return []
        self._resend_at = now + self._cfg.resend_s * (
            _MIN_JITTER_FACTOR + rng.random()
        )
        match self.state:
            case Preparing(decision=decision, deadline_at=deadline_at):
                if deadline_at <= now:
                    return self._persist(
                        Abort(decision.stamp.map_version),
                        decision.stamp,
                    )
                return _send_prepares(
                    self._order_factory, self.state, self.roster
                )
            case Persisting(change=change):
                return [PersistDecision(change)]
            case Activating(decision):
                order = self._order_factory.activate(self.record)
                return _send(self.roster.to_activate(decision), order)
        query = _send(self.roster.announced or (), self._order_factory.query())
        return query + self._reconcile()

    def _note_report(self, report: RankReport) -> list[CoordinatorAction]:
        if report.fence > self._fence:
            self.state = Stopped()
            return []
        return self._reconcile() if self.roster.record(report) else []

    def _reconcile(self) -> list[CoordinatorAction]:
        """Compare the reports with the state and return corrective actions."""
        match self.state:
            case Idle():
                need = determine_need(self.record, self.roster, self._cfg.ranks)
                if need is GroupNeed.BUMP:
                    return self.start_incarnation()
                if need is GroupNeed.MAP:
                    members = self.roster.announced or ()
                    return [NeedMap(self.record.incarnation, members)]
            case Preparing():
                return self._check_promises(self.state)
            case Activating(decision):
                return self._check_activation(decision)
        return []

    def _check_promises(self, state: Preparing) -> list[CoordinatorAction]:
        stamp = state.decision.stamp
        match check_promises(state, self.roster):
            case PromiseCheck.MEMBER_LOST:
                return self.start_incarnation()
            case PromiseCheck.TOO_LATE:
                self._retry_later(state)
                return self._persist(Abort(stamp.map_version), stamp)
            case PromiseCheck.COMPLETE:
                return self.decide(state.decision)
        return []

    def _retry_later(self, state: Preparing) -> None:
        """Schedule a retry of the same map with a later hold step."""
        self._hold_factor *= HOLD_GROWTH
        if self._hold_factor <= MAX_HOLD_FACTOR:
            self._retry_proposal = exclude_fetched(state, self.roster)
        else:
            self._hold_factor = 1

    def _check_activation(
        self,
        decision: SwitchDecision,
    ) -> list[CoordinatorAction]:
        if self.roster.has_unfit_member(decision):
            ended = SwitchEnded(decision.stamp, 'interrupted')
            return [ended, *self.start_incarnation()]
        if self.roster.to_activate(decision):
            return []
        self._hold_factor = 1
        self._activated = decision.stamp
        self.state = Idle()
        ended = SwitchEnded(decision.stamp, 'activated')
        return [ended, *self._reconcile()]

    def _persist(
        self,
        change: RecordChange,
        stamp: MapStamp,
    ) -> list[CoordinatorAction]:
        self.state = Persisting(change, stamp)
        return [PersistDecision(change)]

    def _note_commit(self, record: GroupRecord) -> list[CoordinatorAction]:
        state = self.state
        if not isinstance(state, Persisting):
            return []
        if change_record(record, state.change) is not None:
            # This record is older than the requested change.
            return []
        self.record = record
        actions = _send(
            self.roster.announced or (), self._order_factory.activate(record)
        )
        decision = record.decision
        if (
            decision is None
            or awaits_map(record)
            or decision.stamp == self._activated
        ):
            self.state = Idle()
        else:
            self.state = Activating(decision)
        if decision is None or decision.stamp != state.stamp:
            actions.append(_switch_ended(state))
        return actions + self._reconcile()


def _send(ranks: Iterable[str], order: RankOrder) -> list[CoordinatorAction]:
    return [SendOrder(rank, order) for rank in ranks]


def _send_prepares(
    factory: OrderFactory,
    state: Preparing,
    roster: RankRoster,
) -> list[CoordinatorAction]:
    return [
        SendOrder(rank, factory.prepare(rank, state))
        for rank in members_without_promise(state.decision, roster)
    ]


def _switch_ended(state: Persisting) -> SwitchEnded:
    aborted = isinstance(state.change, Abort)
    outcome: Outcome = 'aborted' if aborted else 'interrupted'
    return SwitchEnded(state.stamp, outcome)
