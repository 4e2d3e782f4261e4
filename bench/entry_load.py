"""Simulates the choice of upstreams by entries under heavy load.

``python -m bench.entry_load`` simulates seeded arrivals on virtual time. The
entries choose upstreams by the code under test, in front of a model of a group
of ranks that run in lock-step. It prints a row per load and policy: the shares
of requests that were in time, late, given up by their callers, and refused. A
policy sets how many calls may wait at an upstream beyond its slots, the delay
after which entries know of each other's calls, and the size of the random
sample of upstreams from which the least busy one is chosen for a call.

In the model, all ranks run each pass together, and it takes as long as the
fullest rank needs. A stream reads its prompt in chunks and then gets one event
per pass. For a second after each shift of demand, the expert map does not fit
and passes take longer. Lost messages, data centres and failed upstreams are
not modelled.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, NamedTuple
from unittest import mock

from snipebend.relay import upstream_views
from snipebend.relay.retry_after import busy_retry_after_s
from snipebend.relay.upstream_selection import select_upstream
from snipebend.relay.upstream_views import CallRequirements
from snipebend.relay.upstreams import UpstreamTable
from snipebend.standin.lockstep import LockstepRank, RankSizes, RankStream
from snipebend.state.roster import UpstreamRecord

if TYPE_CHECKING:
    from collections.abc import Callable

#: Sizes of the largest known deployment: ranks and entries of the fleet, and
#: streams that a rank runs and queues.
RANKS = 192
ENTRIES = 36
SLOTS_PER_RANK = 3
QUEUE_PER_RANK = 6
#: Requests a second of a heavy day, and the factors at which to simulate it.
REQUESTS_PER_S = 234.0
LOADS = (0.8, 1.0, 1.25)
DURATION_S = 12.0

#: Seconds of a step, of each stream in a step, and of a chunk of a prompt.
SIZES = RankSizes(
    SLOTS_PER_RANK,
    QUEUE_PER_RANK,
    step_s=0.00455,
    stream_s=0.00199,
    chunk_s=0.0083,
    steps_per_pass=6,
    chunks_per_prompt=2,
)
EVENTS_PER_STREAM = 15
EXPERT_SHARE = 0.85
#: Load of the fullest rank over the mean: with a map that fits, and in the
#: second after a shift of demand.
SKEW, SHIFTED_SKEW = 1.45, 3.1
SHIFT_INTERVAL_S = 3.9
SHIFTED_S = 1.0

#: Longest seconds to the first event and between events of a stream in time.
FIRST_EVENT_S, EVENT_GAP_S = 0.6, 0.2
#: Seconds without any event after which a caller gives up.
CALLER_TIMEOUT_S = 2.4
MAX_SENDS = 4
SEEDS = (1, 2)


class Policy(NamedTuple):
    """A variant of how entries choose upstreams."""

    name: str
    #: Calls that may wait at an upstream, as a share of its slots.
    waiting_share: float
    #: Seconds until the other entries know of a call.
    lag_s: float = 0.02
    #: Size of the random sample of upstreams for a call; ``None`` means all.
    sample_size: int | None = None


POLICIES = (
    Policy('default', upstream_views.QUEUE_SHARE),
    Policy('no waiting calls', 0),
    Policy('calls known at once', upstream_views.QUEUE_SHARE, 0),
    Policy('calls known 0.2 s late', upstream_views.QUEUE_SHARE, 0.2),
    Policy('sample of 64', upstream_views.QUEUE_SHARE, sample_size=64),
    Policy('sample of 16', upstream_views.QUEUE_SHARE, sample_size=16),
    Policy('sample of 8', upstream_views.QUEUE_SHARE, sample_size=8),
    Policy('sample of 4', upstream_views.QUEUE_SHARE, sample_size=4),
    Policy('sample of 2', upstream_views.QUEUE_SHARE, sample_size=2),
)


@dataclass(eq=False, slots=True)
class Stream(RankStream):
    """A request and the events that its caller has received."""

    sent_at: float = 0
    entry: int = 0
    rank: int = -1
    events: int = 0
    last_event_at: float = 0
    is_in_time: bool = True
    has_retried: bool = False
    tried_upstreams: list[str] = field(default_factory=list)


class Simulation:
    """A seeded simulation of a policy at a load."""

    def __init__(self, policy: Policy, load: float, seed: int) -> None:
        """Create a simulation with idle ranks and no requests."""
        self.outcome_counts: Counter[str] = Counter()
        self._policy = policy
        self._rate = REQUESTS_PER_S * load
        self._rng = random.Random(seed)
        self._now: float = 0
        self._sequence_numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._ranks: list[LockstepRank[Stream]] = [
            LockstepRank(SIZES) for _ in range(RANKS)
        ]
        self._tables = [UpstreamTable() for _ in range(ENTRIES)]
        for table in self._tables:
            table.apply_records(
                UpstreamRecord(
                    str(rank), 's', '10.0.0.1:80', 'dc', SLOTS_PER_RANK
                )
                for rank in range(RANKS)
            )
        self._schedule(0, self._arrive)
        self._schedule(0, self._start_pass)

    def run(self) -> Counter[str]:
        """Run the simulation; return the counts of requests by outcome."""
        while self._events[0][0] < DURATION_S:
            due_at, _, callback = heapq.heappop(self._events)
            self._now = due_at
            callback()
        return self.outcome_counts

    def _schedule(self, after_s: float, callback: Callable[[], None]) -> None:
        entry = (self._now + after_s, next(self._sequence_numbers), callback)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        self._schedule(self._rng.expovariate(self._rate), self._arrive)
        stream = Stream(sent_at=self._now)
        self._schedule(CALLER_TIMEOUT_S, lambda: self._time_out(stream))
        self._send(stream)

    def _send(self, stream: Stream) -> None:
        """Try upstreams until one accepts the request, else refuse it."""
        stream.entry = self._rng.randrange(ENTRIES)
        stream.tried_upstreams.clear()
        table = self._tables[stream.entry]
        while (
            len(stream.tried_upstreams) < MAX_SENDS and not stream.is_finished
        ):
            requirements = CallRequirements(
                'dc', EVENT_GAP_S, stream.tried_upstreams
            )
            members = table.list_service('s')
            if self._policy.sample_size is not None:
                members = tuple(
                    self._rng.sample(members, self._policy.sample_size)
                )
            upstream = select_upstream(
                members, requirements, self._now, self._rng
            )
            if upstream is None:
                break
            identity = upstream.record.identity
            stream.tried_upstreams.append(identity)
            if self._ranks[int(identity)].try_enqueue(stream):
                stream.rank = int(identity)
                self._count_call(stream, 1)
                return
        self._refuse(stream)

    def _refuse(self, stream: Stream) -> None:
        """Refuse a request; its caller retries once."""
        if stream.has_retried:
            self._finish(stream, 'refused')
        elif not stream.is_finished:
            stream.has_retried = True
            wait_s = busy_retry_after_s(self._rng.random())
            self._schedule(wait_s, lambda: self._send(stream))

    def _count_call(self, stream: Stream, change: int) -> None:
        """Count a call's start or end at its entry, and later at the others."""
        identity = str(stream.rank)
        entry_upstream = self._tables[stream.entry].find(identity)
        if entry_upstream is not None:
            entry_upstream.own_calls += change
        entry = stream.entry
        self._schedule(
            self._policy.lag_s,
            lambda: self._apply_change(entry, identity, change),
        )

    def _apply_change(self, entry: int, identity: str, change: int) -> None:
        for number, table in enumerate(self._tables):
            upstream = table.find(identity)
            if number != entry and upstream is not None:
                others = upstream.other_entries_calls
                others[str(entry)] = others.get(str(entry), 0) + change

    def _time_out(self, stream: Stream) -> None:
        if not stream.events:
            self._finish(stream, 'given up')

    def _finish(self, stream: Stream, outcome: str) -> None:
        if stream.is_finished:
            return
        stream.is_finished = True
        self.outcome_counts[outcome] += 1
        if stream.rank >= 0:
            self._count_call(stream, -1)

    def _start_pass(self) -> None:
        """Start a pass; its events are generated when it finishes."""
        longest_s = max(rank.start_pass() for rank in self._ranks)
        since_shift_s = self._now % SHIFT_INTERVAL_S
        skew = SHIFTED_SKEW if since_shift_s < SHIFTED_S else SKEW
        slowdown = 1 - EXPERT_SHARE + EXPERT_SHARE * skew
        self._schedule(max(0.01, longest_s * slowdown), self._finish_pass)

    def _finish_pass(self) -> None:
        for rank in self._ranks:
            for stream in rank.finish_pass():
                self._advance(stream)
        self._start_pass()

    def _advance(self, stream: Stream) -> None:
        """Generate the next event."""
        previous_at = stream.last_event_at if stream.events else stream.sent_at
        allowed_s = EVENT_GAP_S if stream.events else FIRST_EVENT_S
        stream.is_in_time &= self._now - previous_at <= allowed_s
        stream.events += 1
        stream.last_event_at = self._now
        if stream.events == EVENTS_PER_STREAM:
            self._finish(stream, 'in time' if stream.is_in_time else 'late')


def run_policy(policy: Policy, load: float) -> dict[str, float]:
    """Return the shares of requests by outcome over all seeds."""
    ended: Counter[str] = Counter()
    with mock.patch.object(upstream_views, 'QUEUE_SHARE', policy.waiting_share):
        for seed in SEEDS:
            ended.update(Simulation(policy, load, seed).run())
    total = sum(ended.values())
    return {outcome: number / total for outcome, number in ended.items()}


def main() -> None:
    """Print the table as Markdown."""
    outcomes = ('in time', 'late', 'given up', 'refused')
    sys.stdout.write(f'| load | policy | {" | ".join(outcomes)} |\n')
    sys.stdout.write(f'| --- | --- |{" --- |" * len(outcomes)}\n')
    for load in LOADS:
        for policy in POLICIES:
            shares = run_policy(policy, load)
            cells = ' | '.join(f'{shares.get(way, 0):.3f}' for way in outcomes)
            sys.stdout.write(f'| {load} | {policy.name} | {cells} |\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
