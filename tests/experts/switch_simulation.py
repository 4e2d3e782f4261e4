"""Simulation of a group, its control and an unreliable network from one seed.

The invariants of the state machines are checked while the schedule runs; a
violation raises ``InvariantError``.
"""

from __future__ import annotations

from collections.abc import Callable
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
    Decide,
    GroupRecord,
    MapStamp,
    SwitchDecision,
    change_record,
)
from snipebend.experts.switch_rank import RankGuard
from snipebend.experts.switch_rank_events import (
    BarrierEntryReceived,
    EnterBarrier,
    EntryRefused,
    FetchWeights,
    OrderReceived,
    QueryDecision,
    RefuseEntry,
    RunStep,
    SendReport,
    StepFinished,
    StepStopped,
    WeightsFetched,
)
from snipebend.experts.switch_states import CoordinatorConfig, Idle
from snipebend.experts.switch_store import StoreSchedule

GROUP = 'drafting'
RANKS = ('r0', 'r1', 'r2')


class InvariantError(Exception):
    """An invariant of the switch was violated."""


class ToRank(NamedTuple):
    rank: str
    event: object


class ToCoordinator(NamedTuple):
    fence: int
    event: object


class ToStore(NamedTuple):
    fence: int
    change: object


class RecordQuery(NamedTuple):
    rank: str


class InvariantChecker:
    """Checks invariants on everything committed, entered, fetched and run.

    A step is identified by its number within a lineage. A decision continues
    the lineage if one of its members has, in its current life, entered a step
    of the newest incarnation that ran any. Otherwise no remaining member knows
    how far the steps had been counted.
    """

    def __init__(self) -> None:
        self.decisions: dict[MapStamp, SwitchDecision] = {}
        self.lineages: dict[MapStamp, int] = {}
        self.entered: set[tuple[str, int, MapStamp]] = set()
        self.fetched: dict[str, set[str]] = {rank: set() for rank in RANKS}
        self.runs: dict[tuple[int, int], MapStamp] = {}
        self.last_run: dict[tuple[int, str], int] = {}
        self.entered_stamps: dict[str, MapStamp] = {}
        self.newest = MapStamp()
        self.steps = 0
        self.stopped = 0

    def restart(self, rank: str) -> None:
        self.fetched[rank] = set()
        self.entered_stamps.pop(rank, None)

    def commit(self, decision: SwitchDecision) -> None:
        known = [self.entered_stamps.get(rank) for rank in decision.members]
        incarnations = {stamp.incarnation for stamp in known if stamp}
        lineage = len(self.decisions) + 1
        if self.newest.incarnation in incarnations:
            lineage = self.lineages[self.newest]
        for (ran_in, step), stamp in self.runs.items():
            if ran_in == lineage and step >= decision.step:
                raise InvariantError('ran beyond the hold', stamp, decision)
        self.decisions[decision.stamp] = decision
        self.lineages[decision.stamp] = lineage

    def run(self, rank: str, action: RunStep) -> None:
        step, stamp = action
        decision = self.decisions.get(stamp)
        if decision is None or decision.step > step:
            raise InvariantError('not decided', rank, action)
        lineage = self.lineages[stamp]
        if self.runs.setdefault((lineage, step), stamp) != stamp:
            raise InvariantError('two maps', rank, action)
        if any(
            newer.stamp > stamp
            and newer.step <= step
            and self.lineages[newer.stamp] == lineage
            for newer in self.decisions.values()
        ):
            raise InvariantError('old map', rank, action)
        self.check_ready(rank, action, decision)
        if self.last_run.get((lineage, rank), -1) >= step:
            raise InvariantError('ran again', rank, action)
        self.last_run[lineage, rank] = step
        self.newest = max(self.newest, stamp)
        self.steps += 1

    def check_ready(
        self,
        rank: str,
        action: RunStep,
        decision: SwitchDecision,
    ) -> None:
        if any(
            (peer, *action) not in self.entered for peer in decision.members
        ):
            raise InvariantError('barrier mixed', rank, action)
        if decision.digest not in self.fetched[rank]:
            raise InvariantError('no weights', rank, action)

    def enter(self, rank: str, step: int, stamp: MapStamp) -> None:
        self.entered.add((rank, step, stamp))
        self.entered_stamps[rank] = max(
            stamp, self.entered_stamps.get(rank, stamp)
        )


class Simulation:
    """One seeded schedule; the seed also selects the rate of faults."""

    def __init__(
        self,
        seed: int,
        coordinator: Callable[..., SwitchCoordinator] = SwitchCoordinator,
        guard: Callable[..., RankGuard] = RankGuard,
    ) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.record = GroupRecord()
        self.fence = 0
        self.quorum = True
        self.checker = InvariantChecker()
        self.activated = 0
        self.maps = 0
        self.in_flight: list[object] = []
        self.sent = 0
        self.coordinators: dict[int, SwitchCoordinator] = {}
        self.guards: dict[str, RankGuard] = {}
        self.life_by_rank = dict.fromkeys(RANKS, 0)
        self.frozen: set[str] = set()
        self.work_left: dict[str, list[object]] = {}
        self.announced = RANKS
        self._make_coordinator = coordinator
        self._make_guard = guard
        for rank in RANKS:
            self.restart_rank(rank)
        self.elect()

    @property
    def leader(self) -> SwitchCoordinator | None:
        return self.coordinators.get(self.fence)

    def run(self, events: int) -> None:
        """Run faults, messages and clock ticks in random order."""
        actions = (
            (self.deliver_random, 60),
            (self.tick, 15),
            (self.work, 40),
            (self.propose, 3),
            (self.inject_fault, self.rng.choice((0.02, 0.1, 0.3, 1, 3))),
        )
        choices, weights = zip(*actions, strict=True)
        picks = self.rng.choices(choices, weights, k=events)
        for act in picks:
            act()

    def settle(self, rounds: int) -> bool:
        """Remove all faults; return whether new maps and steps follow."""
        self.quorum = True
        self.frozen.clear()
        if self.leader is None:
            self.elect()
        self.announce(RANKS)
        goal = self.activated + 2
        floor = self.checker.steps
        for _ in range(rounds):
            self.now += 0.5
            self.propose()
            self.tick_all()
            for _ in range(8):
                self.deliver_all()
                self.work_all()
            if self.activated >= goal and self._makes_progress(floor):
                return True
        return False

    def inject_fault(self) -> None:
        rank = self.rng.choice(RANKS)
        match self.rng.randrange(7):
            case 0:
                self.coordinators.pop(self.fence, None)
            case 1:
                self.elect()
            case 2:
                self.restart_rank(rank)
            case 3:
                self.frozen ^= {rank}
            case 4:
                self.announce(tuple(one for one in RANKS if one != rank))
            case 5:
                self.announce(RANKS)
            case _:
                self.quorum = not self.quorum

    def elect(self) -> None:
        """Elect a leader; the previous one may continue to send messages."""
        if not self.quorum:
            return
        self.fence += 1
        if self.chance(50):
            self.coordinators.clear()
        schedule = StoreSchedule(1e6, horizon_s=60, started_at=self.now - 60)
        self.coordinators[self.fence] = self._make_coordinator(
            CoordinatorConfig(GROUP, len(RANKS), prepare_s=20),
            self.fence,
            self.record,
            schedule,
        )
        self.announce(self.announced)

    def announce(self, ranks: tuple[str, ...]) -> None:
        self.announced = ranks
        for fence in tuple(self.coordinators):
            self.notify_coordinator(fence, RanksAnnounced(ranks))

    def restart_rank(self, rank: str) -> None:
        self.life_by_rank[rank] += 1
        self.checker.restart(rank)
        self.guards[rank] = self._make_guard(
            rank, self.life_by_rank[rank], self.fence
        )
        self.work_left[rank] = []

    def deliver_random(self) -> None:
        if not self.in_flight:
            return
        index = self.rng.randrange(len(self.in_flight))
        if self.chance(10):
            self.deliver(self.in_flight[index])
            return
        message = self.in_flight.pop(index)
        if self.chance(95):
            self.deliver(message)
        # Bound the queue so that old messages cannot starve new ones.
        while len(self.in_flight) > 60:
            self.in_flight.pop(self.rng.randrange(len(self.in_flight)))

    def deliver_all(self) -> None:
        messages = tuple(self.in_flight)
        self.in_flight.clear()
        for message in messages:
            self.deliver(message)

    def deliver(self, message: object) -> None:
        match message:
            case ToRank(rank, event):
                if rank in self.frozen:
                    self.in_flight.append(message)
                else:
                    self.notify_rank(rank, event)
            case ToCoordinator(fence, event):
                self.notify_coordinator(fence, event)
            case ToStore(fence, change):
                self.commit(fence, change)
            case RecordQuery(rank):
                if self.quorum:
                    order = Activate(GROUP, self.fence, self.record)
                    self.post(ToRank(rank, OrderReceived(order)))

    def post(self, message: object) -> None:
        self.sent += 1
        self.in_flight.append(message)

    def commit(self, fence: int, change: object) -> None:
        if not self.quorum or fence != self.fence:
            return
        changed = change_record(self.record, change)
        if changed is not None:
            self.record = changed
            if isinstance(change, Decide):
                self.checker.commit(change.decision)
        self.post(ToCoordinator(fence, RecordCommitted(self.record)))

    def tick(self) -> None:
        self.now += self.rng.random() * 0.2
        if self.chance(50):
            self.notify_coordinator(
                self.rng.choice((self.fence, self.fence - 1)), Tick()
            )
        else:
            self.notify_rank(self.rng.choice(RANKS), Tick())

    def chance(self, percent: int) -> bool:
        return self.rng.randrange(100) < percent

    def tick_all(self) -> None:
        for fence in tuple(self.coordinators):
            self.notify_coordinator(fence, Tick())
        for rank in RANKS:
            self.notify_rank(rank, Tick())

    def work(self) -> None:
        """Finish a step or a fetch of some rank."""
        rank = self.rng.choice(RANKS)
        if self.work_left[rank] and rank not in self.frozen:
            index = self.rng.randrange(len(self.work_left[rank]))
            event = self.work_left[rank].pop(index)
            if isinstance(event, WeightsFetched):
                self.checker.fetched[rank].add(event.digest)
            self.notify_rank(rank, event)

    def work_all(self) -> None:
        for _ in RANKS * 3:
            self.work()

    def propose(self) -> None:
        """Propose another map on behalf of the policy."""
        if self.leader is not None and self.leader.roster.announced:
            self._propose(
                self.leader.record.incarnation,
                self.leader.roster.announced,
            )

    def notify_rank(self, rank: str, event: object) -> None:
        if rank in self.frozen:
            return
        guard = self.guards[rank]
        before = (guard.fence, guard.promise.newest)
        for action in guard.step(event, self.now, self.rng):
            self.apply_rank_action(rank, action)
        if isinstance(event, OrderReceived) and event.order.fence < before[0]:
            if before != (guard.fence, guard.promise.newest):
                raise InvariantError('old fence', rank, event)

    def apply_rank_action(self, rank: str, action: object) -> None:
        match action:
            case SendReport(report):
                for fence in tuple(self.coordinators):
                    self.post(ToCoordinator(fence, RankReported(report)))
            case QueryDecision():
                self.post(RecordQuery(rank))
            case FetchWeights(digest):
                self.work_left[rank].append(WeightsFetched(digest))
            case EnterBarrier(peer, entry):
                self.checker.enter(rank, entry.step, entry.stamp)
                self.post(ToRank(peer, BarrierEntryReceived(entry)))
            case RefuseEntry(peer, incarnation):
                self.post(ToRank(peer, EntryRefused(incarnation)))
            case RunStep(step, stamp):
                self.checker.enter(rank, step, stamp)
                self.checker.run(rank, action)
                self.work_left[rank].append(StepFinished(step))
            case StepStopped():
                self.checker.stopped += 1

    def notify_coordinator(self, fence: int, event: object) -> None:
        coordinator = self.coordinators.get(fence)
        if coordinator is None:
            return
        for action in coordinator.step(event, self.now, self.rng):
            self.apply_coordinator_action(fence, action)

    def apply_coordinator_action(self, fence: int, action: object) -> None:
        match action:
            case SendOrder(rank, order):
                self.post(ToRank(rank, OrderReceived(order)))
            case PersistDecision(change):
                self.post(ToStore(fence, change))
            case NeedMap(incarnation, members):
                if fence == self.fence:
                    self._propose(incarnation, members)
            case SwitchEnded(_, 'activated'):
                self.activated += 1

    def _propose(self, incarnation: int, members: tuple[str, ...]) -> None:
        if self.leader is None or not isinstance(self.leader.state, Idle):
            return
        self.maps += 1
        proposal = MapProposed(
            incarnation,
            members,
            f'map-{self.maps}',
            dict.fromkeys(members, 1000),
            self.rng.randrange(1, 4),
        )
        self.post(ToCoordinator(self.fence, proposal))

    def _makes_progress(self, floor: int) -> bool:
        stamps = {guard.runner.stamp for guard in self.guards.values()}
        return len(stamps) == 1 and self.checker.steps > floor + 10
