"""The guard of one rank: decides which step runs under which expert map.

A state machine without I/O. A rank that acknowledged ``Prepare`` enters no step
at or beyond the hold step before it knows the decision. This is the participant
role of two-phase commit (Gray, Notes on Data Base Operating Systems, 1978) with
blocking limited to the hold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.switch_events import Tick
from snipebend.experts.switch_messages import (
    Activate,
    Prepare,
    RankOrder,
    RankReport,
    StatusQuery,
)
from snipebend.experts.switch_promise import RankPromise
from snipebend.experts.switch_rank_events import (
    BarrierEntryReceived,
    EntryRefused,
    FetchWeights,
    OrderReceived,
    QueryDecision,
    RankAction,
    RankEvent,
    SendReport,
    StepFinished,
    WeightsFetched,
)
from snipebend.experts.switch_runner import StepRunner

if TYPE_CHECKING:
    from random import Random

#: Seconds between two queries for a decision, before jitter.
QUERY_INTERVAL_S = 0.2

_MIN_JITTER_FACTOR = 0.5


class RankGuard:
    """Guards one run of a rank; a restarted rank's guard has a higher life."""

    def __init__(
        self,
        rank: str,
        life: int,
        fence: int,
        runner: type[StepRunner] = StepRunner,
    ) -> None:
        """Create a guard without a map; ``fence`` was read from a quorum."""
        self.rank = rank
        self.life = life
        self.fence = fence
        self.promise = RankPromise()
        self.runner = runner(rank, self.promise)
        self._sequence = 0
        self._query_at = float('-inf')

    def step(
        self,
        event: RankEvent,
        now: float,
        rng: Random,
    ) -> list[RankAction]:
        """Handle one event and return the resulting actions in order."""
        return self._dispatch(event, now, rng) + self.runner.advance()

    def report(self, *, refused: bool = False) -> RankReport:
        """Return the rank's state for the coordinators."""
        self._sequence += 1
        return RankReport(
            rank=self.rank,
            life=self.life,
            sequence=self._sequence,
            fence=self.fence,
            installed=self.promise.installed,
            prepared=self.promise.prepared,
            too_late=self.promise.too_late,
            next_step=self.runner.next_step,
            refused=refused,
        )

    def is_stale(self, fence: int) -> bool:
        """Return whether an order comes from a previous holder of the fence."""
        return fence < self.fence

    def can_promise(self) -> bool:
        """Return whether the weights that a promise requires are fetched."""
        return self.promise.is_fetched()

    def _dispatch(
        self,
        event: RankEvent,
        now: float,
        rng: Random,
    ) -> list[RankAction]:
        match event:
            case Tick():
                return self._tick(now, rng)
            case OrderReceived(order):
                return self._handle_order(order)
            case WeightsFetched(digest):
                self.promise.fetched.add(digest)
                return self._try_promise()
            case BarrierEntryReceived(entry):
                return self.runner.note_entry(entry)
            case EntryRefused(incarnation):
                return self._note_refusal(incarnation)
            case StepFinished(step):
                self.runner.finish(step)
        return []

    def _tick(self, now: float, rng: Random) -> list[RankAction]:
        if now < self._query_at:
            return []
        self._query_at = now + QUERY_INTERVAL_S * (
            _MIN_JITTER_FACTOR + rng.random()
        )
        actions = self.runner.resend()
        if self.runner.in_force is None or self.promise.hold_step is not None:
            actions.append(QueryDecision())
        return actions

    def _handle_order(self, order: RankOrder) -> list[RankAction]:
        if self.is_stale(order.fence):
            return [SendReport(self.report(refused=True))]
        self.fence = max(self.fence, order.fence)
        match order:
            case Prepare():
                return self._prepare(order)
            case Activate(record=record):
                self.promise.apply_record(record, self.runner.next_step)
            case StatusQuery():
                # Requires no action except the report below.
                pass  # noqa: WPS420  # a case needs a body
        return [SendReport(self.report())]

    def _prepare(self, order: Prepare) -> list[RankAction]:
        if not self._is_acceptable(order):
            return [SendReport(self.report())]
        if self.promise.accept(order):
            size, not_before = order.fetch_bytes, order.fetch_at
            fetch = FetchWeights(order.decision.digest, size, not_before)
            return [fetch, *self._try_promise()]
        return self._try_promise()

    def _is_acceptable(self, order: Prepare) -> bool:
        stamp = order.decision.stamp
        if order.life != self.life or self.rank not in order.decision.members:
            return False
        if stamp <= self.promise.newest:
            return False
        if stamp.incarnation > self.promise.installed.incarnation:
            return True
        # Within an incarnation, maps are applied in sequence without gaps.
        return (
            order.base == self.promise.installed
            and self.promise.pending is None
        )

    def _try_promise(self) -> list[RankAction]:
        if not self.can_promise():
            return []
        self.promise.promise(self.runner.next_step)
        return [SendReport(self.report())]

    def _note_refusal(self, incarnation: int) -> list[RankAction]:
        if incarnation <= self.runner.stamp.incarnation:
            return []
        self.promise.hold_before(self.runner.next_step)
        return [QueryDecision()]
