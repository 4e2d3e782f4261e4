"""Cost of an expert map switch in messages and held steps.

Simulates one group and its coordinator on a seeded network. A step and a
message take one tick each; in runs with loss, a share of the messages is lost
and sent again. A held step is a tick in which only its promise prevents a rank
from entering a step.
"""

from __future__ import annotations

import sys
from random import Random
from typing import NamedTuple

from snipebend.experts.switch_coordinator import SwitchCoordinator
from snipebend.experts.switch_events import (
    MapProposed,
    NeedMap,
    PersistDecision,
    RankReported,
    RanksAnnounced,
    RecordCommitted,
    SendOrder,
    SwitchEnded,
    Tick,
)
from snipebend.experts.switch_messages import (
    Activate,
    GroupRecord,
    change_record,
)
from snipebend.experts.switch_rank import RankGuard
from snipebend.experts.switch_rank_events import (
    BarrierEntryReceived,
    EnterBarrier,
    FetchWeights,
    OrderReceived,
    QueryDecision,
    RunStep,
    SendReport,
    StepFinished,
    WeightsFetched,
)
from snipebend.experts.switch_states import CoordinatorConfig, Idle
from snipebend.experts.switch_store import StoreSchedule

RANKS = 8
SWITCHES = 40
LOSS = 0.1

#: Duration of one tick in seconds; a step and a message take one tick each.
TICK_S = 0.05

#: Steps between proposal and hold, and duration of a durable commit in ticks.
HOLD_AHEAD = 12
COMMIT_TICKS = 2


class Tally(NamedTuple):
    """Totals over all switches."""

    switches: int
    orders: int
    held: int
    retries: int


class SimulatedRun:
    """One seeded run; ``loss`` is the share of messages that are lost."""

    def __init__(self, loss: float) -> None:
        """Create a group with all ranks announced and no map."""
        self.rng = Random(1)
        self.names = tuple(f'r{number}' for number in range(RANKS))
        self.record = GroupRecord()
        self.coordinator = SwitchCoordinator(
            CoordinatorConfig('g', RANKS, resend_s=10 * TICK_S),
            1,
            self.record,
            StoreSchedule(1e9, horizon_s=1e9, started_at=-1e9),
        )
        self.guards = {name: RankGuard(name, 1, 1) for name in self.names}
        self.loss = loss
        self.now: float = 0
        self.orders = 0
        self.held = 0
        self.activated = 0
        self.aborted = 0
        self.maps = 0
        self._due: list[tuple[float, str, object]] = []

    def run(self) -> Tally:
        """Activate the first map, then count the following switches."""
        self._notify_coordinator(RanksAnnounced(self.names))
        self._until(1)
        self.orders = 0
        self.held = 0
        self.aborted = 0
        while self.activated <= SWITCHES:
            self._propose(self.record.incarnation)
            self._until(self.activated + 1)
        return Tally(SWITCHES, self.orders, self.held, self.aborted)

    def _until(self, activated: int) -> None:
        """Run until the map is in force on all ranks."""
        while self.activated < activated or self._has_pending_map():
            self._tick()

    def _has_pending_map(self) -> bool:
        return any(
            guard.promise.pending is not None for guard in self.guards.values()
        )

    def _tick(self) -> None:
        self.now += TICK_S
        due = [entry for entry in self._due if entry[0] <= self.now]
        self._due = [entry for entry in self._due if entry[0] > self.now]
        for _, receiver, event in due:
            self._deliver(receiver, event)
        self._notify_coordinator(Tick())
        for name, guard in self.guards.items():
            is_held = guard.promise.must_hold(guard.runner.next_step)
            self.held += is_held and guard.runner.running is None
            self._notify_rank(name, Tick())

    def _deliver(self, receiver: str, event: object) -> None:
        match event:
            case PersistDecision(change):
                changed = change_record(self.record, change)
                self.record = changed or self.record
                self._notify_coordinator(RecordCommitted(self.record))
            case _ if receiver:
                self._notify_rank(receiver, event)
            case _:
                self._notify_coordinator(event)

    def _notify_coordinator(self, event: object) -> None:
        for action in self.coordinator.step(event, self.now, self.rng):
            match action:
                case SendOrder(rank, order):
                    self.orders += 1
                    self._send(rank, OrderReceived(order))
                case PersistDecision():
                    self._schedule(COMMIT_TICKS, '', action)
                case NeedMap(incarnation):
                    self._propose(incarnation)
                case SwitchEnded(_, outcome):
                    self.activated += outcome == 'activated'
                    self.aborted += outcome == 'aborted'

    def _notify_rank(self, name: str, event: object) -> None:
        for action in self.guards[name].step(event, self.now, self.rng):
            match action:
                case SendReport(report):
                    self.orders += 1
                    self._send('', RankReported(report))
                case EnterBarrier(peer, entry):
                    self._schedule(0, peer, BarrierEntryReceived(entry))
                case FetchWeights(digest):
                    self._schedule(4, name, WeightsFetched(digest))
                case RunStep(step):
                    self._schedule(1, name, StepFinished(step))
                case QueryDecision():
                    self.orders += 2
                    order = Activate('g', 1, self.record)
                    self._schedule(2, name, OrderReceived(order))

    def _send(self, receiver: str, event: object) -> None:
        if self.rng.random() >= self.loss:
            self._schedule(1, receiver, event)

    def _schedule(self, ticks: int, receiver: str, event: object) -> None:
        # Half a tick early, so that rounding does not delay the event.
        moment = self.now + (ticks - 0.5) * TICK_S
        self._due.append((moment, receiver, event))

    def _propose(self, incarnation: int) -> None:
        if not isinstance(self.coordinator.state, Idle):
            return
        self.maps += 1
        sizes = dict.fromkeys(self.names, 1000)
        self._schedule(
            1,
            '',
            MapProposed(
                incarnation, self.names, f'm{self.maps}', sizes, HOLD_AHEAD
            ),
        )


def measure() -> dict[str, float]:
    """Return messages and held steps per rank, and retries, of a switch."""
    figures: dict[str, float] = {}
    for name, loss in (('clean', 0), ('loss', LOSS)):
        tally = SimulatedRun(loss).run()
        per_rank = tally.orders / tally.switches / RANKS
        figures[f'messages_per_rank_{name}'] = per_rank
        figures[f'held_steps_per_rank_{name}'] = (
            tally.held / tally.switches / RANKS
        )
        figures[f'retries_per_switch_{name}'] = tally.retries / tally.switches
    return figures


if __name__ == '__main__':
    for figure, value in measure().items():
        sys.stdout.write(f'{figure} = {value:.4g}\n')
