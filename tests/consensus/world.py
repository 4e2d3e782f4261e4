"""Simulation of a Raft group on virtual time, with disk and network faults."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from snipebend.consensus import actions as act
from snipebend.consensus import events as evt
from snipebend.consensus.config import CoreConfig, RestoredState
from snipebend.consensus.core import Core
from snipebend.consensus.messages import Envelope
from snipebend.consensus.records import (
    HardState,
    LogEntry,
    Member,
    Members,
    SnapshotMeta,
)
from tests.consensus.checker import Checker, Violation

if TYPE_CHECKING:
    from collections.abc import Callable

_decoder = msgspec.msgpack.Decoder(Envelope)
TICK_S = 0.05

#: Log entries kept before the index of a snapshot.
KEPT_ENTRIES = 5

#: Steps after which a simulation is considered an endless loop.
MAX_STEPS = 100_000


@dataclass
class Disk:
    """The synced data of a VM, and the writes that a crash may lose."""

    founders: Members
    hard_state: HardState = HardState()
    snapshot: SnapshotMeta | None = None
    payload: bytes = b''
    entries: list[LogEntry] = field(default_factory=list)
    unsynced: list[act.Persist | act.InstallSnapshot] = field(
        default_factory=list
    )

    @property
    def is_installing(self) -> bool:
        """Return whether a snapshot installation is not yet synced."""
        return any(
            isinstance(one, act.InstallSnapshot) for one in self.unsynced
        )

    def sync(self, count: int) -> list[act.Persist | act.InstallSnapshot]:
        """Sync the oldest ``count`` writes and return them."""
        done = self.unsynced[:count]
        self.unsynced = self.unsynced[count:]
        for action in done:
            if isinstance(action, act.InstallSnapshot):
                self.snapshot = SnapshotMeta(
                    action.index, action.term, action.members
                )
                self.payload = action.payload
                self.entries = []
            else:
                self._write(action)
        return done

    def _write(self, action: act.Persist) -> None:
        self.hard_state = action.hard_state or self.hard_state
        if action.truncate_from is not None:
            first = action.truncate_from
            self.entries = [one for one in self.entries if one.index < first]
        if action.entries:
            start = self.snapshot.index if self.snapshot else 0
            last = self.entries[-1].index if self.entries else start
            follows = last + 1 == action.entries[0].index
            assert follows, 'a gap in the log on disk'
        self.entries += action.entries

    def restored(self) -> RestoredState:
        """Return the state that a restarted process reads."""
        return RestoredState(
            self.hard_state, self.snapshot, tuple(self.entries), self.founders
        )


@dataclass
class SimulatedVm:
    """A VM with its clock, its disk and the process running on it, if any."""

    name: str
    clock_rate: float
    clock_offset: float
    member: Member
    disk: Disk
    core: Core | None = None
    incarnation: int = 0
    applied: int = 0
    paused_until: float = 0
    #: When its previous process ended.
    crashed_at: float = 0
    sync_done_at: float = 0
    reads: dict[str, int] = field(default_factory=dict)
    inbox: list[evt.Event] = field(default_factory=list)

    def local_time(self, now: float) -> float:
        """Return the local clock time at a virtual time."""
        return self.clock_offset + now * self.clock_rate


class World:
    """VMs, network and virtual time; the checker verifies every step."""

    #: Planted fault: number of election timeouts by which the start time that
    #: processes assume is too early.
    start_error_timeouts = 0.0

    def __init__(self, seed: int, cfg: CoreConfig, voters: int) -> None:
        """Create a group of ``voters`` founding members."""
        self.rng = random.Random(seed)
        self.cfg = cfg
        #: Chooses the start times of processes, which lie between the end of
        #: the previous process and the first step of the new one.
        self._start_time_rng = random.Random(seed)
        self.checker = Checker()
        self.now = 0.0
        self.steps = 0
        self.sent = 0
        self.bytes_sent = 0
        self.loss = 0.0
        self.duplication = 0.0
        self.inbox_delay_s = 0.0
        self.delay = (0.001, 0.005)
        self.sync_delay = (0.001, 0.01)
        self.is_cut: Callable[[str, str], bool] = lambda source, target: False
        self.outcomes: dict[str, act.ProposalCommitted | act.RejectReason] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = iter(range(1 << 60))
        self.vms: list[SimulatedVm] = []
        names = [f'h{number}' for number in range(voters)]
        members = [Member(f'{name}-0', name, '') for name in names]
        for member in members:
            self.add_vm(member, Members(tuple(members)))

    def add_vm(self, member: Member, founders: Members) -> SimulatedVm:
        """Add a VM, whose clock rate is off by up to the allowed drift."""
        drift = self.cfg.clock_drift
        clock_rate = 1 + drift * self.rng.choice(
            [-1, 1, self.rng.uniform(-1, 1)]
        )
        clock_offset = self.rng.uniform(0, 100)
        vm = SimulatedVm(
            member.name, clock_rate, clock_offset, member, Disk(founders)
        )
        self.vms.append(vm)
        self.start(vm)
        return vm

    def start(self, vm: SimulatedVm) -> None:
        """Start a process from the state on disk."""
        vm.incarnation += 1
        restored = vm.disk.restored()
        vm.applied = restored.snapshot.index if restored.snapshot else 0
        vm.reads = {}
        process_started_at = self._start_time_rng.uniform(
            vm.crashed_at, self.now
        )
        early_s = self.start_error_timeouts * self.cfg.election_timeout_s
        vm.core = Core(
            self.cfg,
            vm.member.member_id,
            restored,
            vm.local_time(self.now),
            self.rng,
            vm.local_time(process_started_at - early_s),
        )
        self._tick(vm, vm.incarnation)

    def crash(self, vm: SimulatedVm) -> None:
        """Kill the process; a random number of its first writes get synced."""
        if vm.core is not None:
            vm.core = None
            vm.crashed_at = self.now
            vm.disk.sync(self.rng.randint(0, len(vm.disk.unsynced)))
            vm.disk.unsynced = []

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay in seconds."""
        when = self.now + delay
        heapq.heappush(self._queue, (when, next(self._numbers), call))

    def run_until(self, deadline: float) -> None:
        """Execute all calls that are due until the deadline."""
        while self._queue and self._queue[0][0] <= deadline:
            due = heapq.heappop(self._queue)
            self.now = due[0]
            due[2]()
        self.now = deadline

    def feed(self, vm: SimulatedVm, *events: evt.Event) -> None:
        """Pass events to a process, after its pause if it is paused."""
        if vm.core is None:
            return
        if self.now < vm.paused_until:
            self._feed_later(vm, vm.paused_until - self.now, *events)
            return
        self.steps += 1
        if self.steps > MAX_STEPS:
            raise Violation(f'no end after {MAX_STEPS} steps')
        local = vm.local_time(self.now)
        for action in vm.core.step_all(events, local, self.rng):
            self._execute(vm, action)

    def read(self, vm: SimulatedVm) -> None:
        """Start a read, which must observe what is acknowledged by now."""
        read_id = f'read-{next(self._numbers)}'
        vm.reads[read_id] = self.checker.acknowledged
        self.feed(vm, evt.ReadRequested(read_id))

    def propose(self, vm: SimulatedVm) -> str:
        """Propose a command whose payload is its proposal id."""
        proposal_id = f'p{next(self._numbers)}'
        self.feed(vm, evt.Proposed(proposal_id, proposal_id.encode()))
        return proposal_id

    def leaders(self) -> list[SimulatedVm]:
        """Return the VMs that consider themselves leader."""
        return [
            vm
            for vm in self.vms
            if vm.core and vm.core.status().role is act.Role.LEADER
        ]

    def take_snapshot(self, vm: SimulatedVm) -> None:
        """Save the applied state and drop all but a few of its entries."""
        core = vm.core
        if core is None or vm.disk.unsynced or not vm.applied:
            return
        last = vm.applied
        if last <= core.status().base_index:
            return
        disk = vm.disk
        meta = SnapshotMeta(last, core.term_at(last), core.members_at(last))
        disk.snapshot = meta
        disk.payload = str(last).encode()
        disk.entries = [one for one in disk.entries if one.index > last]
        first = max(core.status().base_index, last - KEPT_ENTRIES)
        term, members = core.term_at(first), core.members_at(first)
        self.feed(vm, evt.SnapshotTaken(first, term, members))

    def _tick(self, vm: SimulatedVm, incarnation: int) -> None:
        if vm.incarnation == incarnation and vm.core is not None:
            self.feed(vm, evt.Tick())
            self.call_later(TICK_S, lambda: self._tick(vm, incarnation))

    def _feed_later(
        self, vm: SimulatedVm, delay: float, *events: evt.Event
    ) -> None:
        incarnation = vm.incarnation

        def deliver() -> None:
            if vm.incarnation == incarnation:
                self.feed(vm, *events)

        self.call_later(delay, deliver)

    def _execute(self, vm: SimulatedVm, action: act.Action) -> None:
        match action:
            case act.Send(envelope):
                self._send(vm, envelope)
            case act.Persist() | act.InstallSnapshot():
                vm.disk.unsynced.append(action)
                self._sync_later(vm)
            case act.Commit(entries):
                term = vm.core.status().term
                assert not vm.disk.is_installing, (
                    'applied entries while a snapshot is being installed'
                )
                for entry in entries:
                    self.checker.on_commit(vm.applied, entry, term)
                    vm.applied = entry.index
            case act.NeedSnapshot(target):
                self._load_snapshot(vm, target)
            case act.ReadReady(read_id):
                self.checker.on_read(action, vm.reads.pop(read_id))
            case act.RoleChanged(act.Role.LEADER, term):
                member_id = vm.member.member_id
                self.checker.on_leader(term, member_id, vm.core)
            case _:
                self._record_outcome(action)

    def _record_outcome(self, action: act.Action) -> None:
        match action:
            case act.ProposalCommitted(proposal_id, index):
                self.checker.on_acknowledged(index, proposal_id)
                self.outcomes[proposal_id] = action
            case act.ProposalRejected(proposal_id, _, reason):
                self.checker.on_rejected(action)
                self.outcomes[proposal_id] = reason

    def _send(self, vm: SimulatedVm, envelope: Envelope) -> None:
        wire = msgspec.msgpack.encode(envelope)
        self.sent += 1
        self.bytes_sent += len(wire)
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                self._schedule_delivery(vm.name, wire)

    def _schedule_delivery(self, source: str, wire: bytes) -> None:
        delay = self.rng.uniform(*self.delay)
        self.call_later(delay, lambda: self._deliver(source, wire))

    def _deliver(self, source: str, wire: bytes) -> None:
        envelope = _decoder.decode(wire)
        # Delivery is by address: a VM also receives messages for its
        # previous identity.
        name = envelope.target.split('-')[0]
        for vm in self.vms:
            if vm.name == name and not self.is_cut(source, name):
                self._enqueue(vm, evt.Received(envelope))

    def _enqueue(self, vm: SimulatedVm, event: evt.Event) -> None:
        """Feed messages that arrive within the inbox delay together."""
        if not self.inbox_delay_s:
            self.feed(vm, event)
            return
        vm.inbox.append(event)
        if len(vm.inbox) == 1:
            self.call_later(self.inbox_delay_s, lambda: self._flush_inbox(vm))

    def _flush_inbox(self, vm: SimulatedVm) -> None:
        events = vm.inbox
        vm.inbox = []
        self.feed(vm, *events)

    def _sync_later(self, vm: SimulatedVm) -> None:
        wait = self.rng.uniform(*self.sync_delay)
        vm.sync_done_at = max(vm.sync_done_at, self.now + wait)
        incarnation = vm.incarnation
        self.call_later(
            vm.sync_done_at - self.now, lambda: self._sync(vm, incarnation)
        )

    def _sync(self, vm: SimulatedVm, incarnation: int) -> None:
        if vm.incarnation != incarnation or vm.core is None:
            return
        for action in vm.disk.sync(1):
            if isinstance(action, act.InstallSnapshot):
                assert action.index >= vm.applied, 'applied index decreased'
                vm.applied = action.index
                self.feed(vm, evt.SnapshotInstalled(action.index))
            else:
                self.feed(vm, evt.Persisted(action.sequence))

    def _load_snapshot(self, vm: SimulatedVm, target: str) -> None:
        snapshot = vm.disk.snapshot
        if snapshot is not None:
            loaded = evt.SnapshotLoaded(
                target,
                snapshot.index,
                snapshot.term,
                snapshot.members,
                vm.disk.payload,
            )
            self._feed_later(vm, 0.01, loaded)
