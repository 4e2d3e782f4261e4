"""Step execution of one rank: barrier entry, run, and map activation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.switch_barrier import StepBarrier, Verdict
from snipebend.experts.switch_messages import MapStamp, SwitchDecision
from snipebend.experts.switch_rank_events import (
    EnterBarrier,
    QueryDecision,
    RankAction,
    RefuseEntry,
    RunStep,
    StepStopped,
)

if TYPE_CHECKING:
    from snipebend.experts.switch_messages import BarrierEntry
    from snipebend.experts.switch_promise import RankPromise


class StepRunner:
    """Runs a rank's steps in sequence, each under one map."""

    def __init__(self, rank: str, promise: RankPromise) -> None:
        """Create a runner before step 0 without a map in force."""
        self.next_step = 0
        self.in_force: SwitchDecision | None = None
        self.running: RunStep | None = None
        self._promise = promise
        self._barrier = StepBarrier(rank)

    @property
    def stamp(self) -> MapStamp:
        """Return the stamp of the map in force, or the empty one."""
        return self.in_force.stamp if self.in_force else MapStamp()

    def can_enter(self, step: int) -> bool:
        """Return whether the rank's promise permits entering a step."""
        return not self._promise.must_hold(step)

    def barrier_verdict(self) -> Verdict:
        """Compare the map stamps with which the ranks entered the step."""
        return self._barrier.verdict()

    def note_entry(self, entry: BarrierEntry) -> list[RankAction]:
        """Record a peer's entry; refuse an old one, stop at a mismatch."""
        own = self.stamp.incarnation
        if entry.stamp.incarnation < own:
            return [RefuseEntry(entry.rank, own)]
        self._barrier.record(entry)
        if self.barrier_verdict() is not Verdict.MISMATCH:
            return []
        stamps = tuple(stamp for stamp in self._barrier.stamps() if stamp)
        return [StepStopped(self.next_step - 1, stamps), QueryDecision()]

    def finish(self, step: int) -> None:
        """Leave a step that the engine has run; repeated calls are harmless."""
        if self.running is not None and self.running.step == step:
            self.running = None
            self._barrier.leave()

    def resend(self) -> list[RankAction]:
        """Resend the entries that the peers may be missing."""
        return [
            EnterBarrier(peer, entry)
            for entry in self._barrier.entries_to_resend()
            for peer in self._barrier.peers
        ]

    def advance(self) -> list[RankAction]:
        """Switch, enter and run as far as possible without a new event."""
        if self.running is not None:
            return []
        self._switch()
        actions = self._enter()
        entered = self._barrier.entered
        if entered and self.barrier_verdict() is Verdict.AGREED:
            self.running = RunStep(entered.step, entered.stamp)
            actions.append(self.running)
        return actions

    def _switch(self) -> None:
        """Put the installed map in force once its step is next.

        A new incarnation starts at its step immediately, because the previous
        one can no longer complete a step.
        """
        pending = self._promise.pending
        if pending is None:
            return
        if pending.stamp.incarnation > self.stamp.incarnation:
            self._barrier.abandon()
            self.next_step = pending.step
        if self._barrier.entered is None and self.next_step == pending.step:
            self.in_force = pending
            self._promise.pending = None

    def _enter(self) -> list[RankAction]:
        if self.in_force is None or self._barrier.entered is not None:
            return []
        if not self.can_enter(self.next_step):
            return []
        decision = self.in_force
        entry = self._barrier.enter(
            self.next_step,
            decision.stamp,
            decision.members,
        )
        self.next_step += 1
        return [EnterBarrier(peer, entry) for peer in self._barrier.peers]
