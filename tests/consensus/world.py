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
    """The synced data of a host, and the writes that a crash may lose."""

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
class Host:
    """A host with its clock, its disk and the process running on it, if any."""

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
    """Hosts, network and virtual time; the checker verifies every step."""

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
        self.hosts: list[Host] = []
        names = [f'h{number}' for number in range(voters)]
        members = [Member(f'{name}-0', name, '') for name in names]
        for member in members:
            self.add_host(member, Members(tuple(members)))

    def add_host(self, member: Member, founders: Members) -> Host:
        """Add a host, whose clock rate is off by up to the allowed drift."""
        drift = self.cfg.clock_drift
        clock_rate = 1 + drift * self.rng.choice(
            [-1, 1, self.rng.uniform(-1, 1)]
        )
        clock_offset = self.rng.uniform(0, 100)
        host = Host(
            member.name, clock_rate, clock_offset, member, Disk(founders)
        )
        self.hosts.append(host)
        self.start(host)
        return host

    def start(self, host: Host) -> None:
        """Start a process from the state on disk."""
        host.incarnation += 1
        restored = host.disk.restored()
        host.applied = restored.snapshot.index if restored.snapshot else 0
        host.reads = {}
        process_started_at = self._start_time_rng.uniform(
            host.crashed_at, self.now
        )
        early_s = self.start_error_timeouts * self.cfg.election_timeout_s
        host.core = Core(
            self.cfg,
            host.member.member_id,
            restored,
            host.local_time(self.now),
            self.rng,
            host.local_time(process_started_at - early_s),
        )
        self._tick(host, host.incarnation)

    def crash(self, host: Host) -> None:
        """Kill the process; a random number of its first writes get synced."""
        if host.core is not None:
            host.core = None
            host.crashed_at = self.now
            host.disk.sync(self.rng.randint(0, len(host.disk.unsynced)))
            host.disk.unsynced = []

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

    def feed(self, host: Host, *events: evt.Event) -> None:
        """Pass events to a process, after its pause if it is paused."""
        if host.core is None:
            return
        if self.now < host.paused_until:
            self._feed_later(host, host.paused_until - self.now, *events)
            return
        self.steps += 1
        if self.steps > MAX_STEPS:
            raise Violation(f'no end after {MAX_STEPS} steps')
        local = host.local_time(self.now)
        for action in host.core.step_all(events, local, self.rng):
            self._execute(host, action)

    def read(self, host: Host) -> None:
        """Start a read, which must observe what is acknowledged by now."""
        read_id = f'read-{next(self._numbers)}'
        host.reads[read_id] = self.checker.acknowledged
        self.feed(host, evt.ReadRequested(read_id))

    def propose(self, host: Host) -> str:
        """Propose a command whose payload is its proposal id."""
        proposal_id = f'p{next(self._numbers)}'
        self.feed(host, evt.Proposed(proposal_id, proposal_id.encode()))
        return proposal_id

    def leaders(self) -> list[Host]:
        """Return the hosts that consider themselves leader."""
        return [
            host
            for host in self.hosts
            if host.core and host.core.status().role is act.Role.LEADER
        ]

    def take_snapshot(self, host: Host) -> None:
        """Save the applied state and drop all but a few of its entries."""
        core = host.core
        if core is None or host.disk.unsynced or not host.applied:
            return
        last = host.applied
        if last <= core.status().base_index:
            return
        disk = host.disk
        meta = SnapshotMeta(last, core.term_at(last), core.members_at(last))
        disk.snapshot = meta
        disk.payload = str(last).encode()
        disk.entries = [one for one in disk.entries if one.index > last]
        first = max(core.status().base_index, last - KEPT_ENTRIES)
        term, members = core.term_at(first), core.members_at(first)
        self.feed(host, evt.SnapshotTaken(first, term, members))

    def _tick(self, host: Host, incarnation: int) -> None:
        if host.incarnation == incarnation and host.core is not None:
            self.feed(host, evt.Tick())
            self.call_later(TICK_S, lambda: self._tick(host, incarnation))

    def _feed_later(self, host: Host, delay: float, *events: evt.Event) -> None:
        incarnation = host.incarnation

        def deliver() -> None:
            if host.incarnation == incarnation:
                self.feed(host, *events)

        self.call_later(delay, deliver)

    def _execute(self, host: Host, action: act.Action) -> None:
        match action:
            case act.Send(envelope):
                self._send(host, envelope)
            case act.Persist() | act.InstallSnapshot():
                host.disk.unsynced.append(action)
                self._sync_later(host)
            case act.Commit(entries):
                term = host.core.status().term
                assert not host.disk.is_installing, (
                    'applied entries while a snapshot is being installed'
                )
                for entry in entries:
                    self.checker.on_commit(host.applied, entry, term)
                    host.applied = entry.index
            case act.NeedSnapshot(target):
                self._load_snapshot(host, target)
            case act.ReadReady(read_id):
                self.checker.on_read(action, host.reads.pop(read_id))
            case act.RoleChanged(act.Role.LEADER, term):
                member_id = host.member.member_id
                self.checker.on_leader(term, member_id, host.core)
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

    def _send(self, host: Host, envelope: Envelope) -> None:
        wire = msgspec.msgpack.encode(envelope)
        self.sent += 1
        self.bytes_sent += len(wire)
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                self._schedule_delivery(host.name, wire)

    def _schedule_delivery(self, source: str, wire: bytes) -> None:
        delay = self.rng.uniform(*self.delay)
        self.call_later(delay, lambda: self._deliver(source, wire))

    def _deliver(self, source: str, wire: bytes) -> None:
        envelope = _decoder.decode(wire)
        # Delivery is by address: a host also receives messages for its
        # previous identity.
        name = envelope.target.split('-')[0]
        for host in self.hosts:
            if host.name == name and not self.is_cut(source, name):
                self._enqueue(host, evt.Received(envelope))

    def _enqueue(self, host: Host, event: evt.Event) -> None:
        """Feed messages that arrive within the inbox delay together."""
        if not self.inbox_delay_s:
            self.feed(host, event)
            return
        host.inbox.append(event)
        if len(host.inbox) == 1:
            self.call_later(self.inbox_delay_s, lambda: self._flush_inbox(host))

    def _flush_inbox(self, host: Host) -> None:
        events = host.inbox
        host.inbox = []
        self.feed(host, *events)

    def _sync_later(self, host: Host) -> None:
        wait = self.rng.uniform(*self.sync_delay)
        host.sync_done_at = max(host.sync_done_at, self.now + wait)
        incarnation = host.incarnation
        self.call_later(
            host.sync_done_at - self.now, lambda: self._sync(host, incarnation)
        )

    def _sync(self, host: Host, incarnation: int) -> None:
        if host.incarnation != incarnation or host.core is None:
            return
        for action in host.disk.sync(1):
            if isinstance(action, act.InstallSnapshot):
                assert action.index >= host.applied, 'applied index decreased'
                host.applied = action.index
                self.feed(host, evt.SnapshotInstalled(action.index))
            else:
                self.feed(host, evt.Persisted(action.sequence))

    def _load_snapshot(self, host: Host, target: str) -> None:
        snapshot = host.disk.snapshot
        if snapshot is not None:
            loaded = evt.SnapshotLoaded(
                target,
                snapshot.index,
                snapshot.term,
                snapshot.members,
                host.disk.payload,
            )
            self._feed_later(host, 0.01, loaded)
