"""Bounds messages, bytes and writes of the consensus core.

Three members run without faults on virtual time and with a seed, so that the
figures are exact. Bytes are those of encoded envelopes, without the transport's
framing.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from snipebend.consensus import actions as act
from snipebend.consensus import events as evt
from snipebend.consensus.config import CoreConfig, RestoredState
from snipebend.consensus.core import Core
from snipebend.consensus.records import Member, Members

if TYPE_CHECKING:
    from collections.abc import Iterable

CFG = CoreConfig()
TICK_S = 0.05
ELECTION_S = 5
IDLE_S = 60
PROPOSALS = 960
PAYLOAD = b'x' * 256
FOUNDERS = Members(tuple(Member(name, name, '') for name in 'abc'))


@dataclass
class SimulatedGroup:
    """Three consensus cores whose messages and writes take no time."""

    now: float = 0
    ticks: int = 0
    messages: int = 0
    sent_bytes: int = 0
    writes: int = 0
    committed: int = 0
    reads: int = 0
    cores: dict[str, Core] = field(default_factory=dict)
    pending: deque[tuple[str, evt.Event]] = field(default_factory=deque)
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def start(self) -> str:
        """Let the members elect a leader; return its member id."""
        restored = RestoredState(members=FOUNDERS)
        for voter in FOUNDERS.voters:
            name = voter.member_id
            self.cores[name] = Core(CFG, name, restored, 0, self.rng)
        self.advance_time(ELECTION_S)
        return next(
            name
            for name, core in self.cores.items()
            if core.status().role is act.Role.LEADER
        )

    def advance_time(self, seconds: float) -> None:
        """Tick all members until the given time has passed."""
        for _ in range(round(seconds / TICK_S)):
            self.ticks += 1
            self.now = self.ticks * TICK_S
            for name in self.cores:
                self.feed_events(name, [evt.Tick()])

    def feed_events(self, name: str, events: Iterable[evt.Event]) -> None:
        """Pass events to a member, then process all resulting events."""
        self._step_core(name, events)
        while self.pending:
            target, event = self.pending.popleft()
            self._step_core(target, [event])

    def reset_counts(self) -> None:
        """Reset the counts to zero, except those of ticks and reads."""
        self.messages = 0
        self.sent_bytes = 0
        self.writes = 0
        self.committed = 0

    def _step_core(self, name: str, events: Iterable[evt.Event]) -> None:
        for action in self.cores[name].step_all(events, self.now, self.rng):
            self._execute(name, action)

    def _execute(self, name: str, action: act.Action) -> None:
        match action:
            case act.Send(envelope):
                self.messages += 1
                self.sent_bytes += len(msgspec.msgpack.encode(envelope))
                self.pending.append((envelope.target, evt.Received(envelope)))
            case act.Persist(sequence):
                self.writes += 1
                self.pending.append((name, evt.Persisted(sequence)))
            case act.ProposalCommitted():
                self.committed += 1
            case act.ReadReady():
                self.reads += 1


def measure() -> dict[str, float]:
    """Return the costs of a commit, of a read and of an idle group."""
    figures = _commit_cost(1) | _commit_cost(32)
    return figures | _read_cost() | _idle_cost()


def _commit_cost(batch: int) -> dict[str, float]:
    group = SimulatedGroup()
    leader = group.start()
    group.reset_counts()
    for first in range(0, PROPOSALS, batch):
        numbers = range(first, first + batch)
        events = [evt.Proposed(f'p{number}', PAYLOAD) for number in numbers]
        group.feed_events(leader, events)
    assert group.committed == PROPOSALS
    return {
        f'messages_per_entry_batch_{batch}': group.messages / PROPOSALS,
        f'bytes_per_entry_batch_{batch}': group.sent_bytes / PROPOSALS,
        f'writes_per_entry_batch_{batch}': group.writes / PROPOSALS,
    }


def _read_cost() -> dict[str, float]:
    group = SimulatedGroup()
    leader = group.start()
    group.reset_counts()
    reads = 1000
    for number in range(reads):
        group.feed_events(leader, [evt.ReadRequested(f'r{number}')])
    assert group.reads == reads
    return {'messages_per_lease_read': group.messages / reads}


def _idle_cost() -> dict[str, float]:
    group = SimulatedGroup()
    group.start()
    group.reset_counts()
    group.advance_time(IDLE_S)
    follower_seconds = IDLE_S * (len(FOUNDERS.voters) - 1)
    return {
        'idle_messages_per_follower_s': group.messages / follower_seconds,
        'idle_bytes_per_follower_s': group.sent_bytes / follower_seconds,
        'idle_writes': group.writes,
    }
