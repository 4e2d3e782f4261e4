"""What callers get on heavy days: entries' choices before a group in lock-step.

``python -m bench.entry_load`` plays seeded arrivals on virtual time through the
entries' own choice of an upstream, in front of a model of one group of ranks,
and prints a row a load and policy: which share of requests was in time, late,
given up by their callers, and refused. A policy is how many calls may wait at
an upstream beyond its slots, how late entries hear of each other's calls, and
among how many upstreams, drawn for each call, the least busy one is taken.

The model: ranks make each pass together, as long as the fullest one needs; a
stream reads its prompt in chunks and then gets an event a pass; a map that
doesn't fit, for a second after each turn of demand, makes passes longer. It
knows nothing of lost messages, data centres or broken upstreams.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import Counter, deque
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, NamedTuple
from unittest import mock

from snipebend.relay import upstream_selection
from snipebend.relay.retry_after import busy_retry_after_s
from snipebend.relay.upstream_selection import CallRequirements, select_upstream
from snipebend.relay.upstreams import UpstreamTable
from snipebend.state.roster import UpstreamRecord

if TYPE_CHECKING:
    from collections.abc import Callable

#: Sizes of the largest fleet that is known.
RANKS = 192
ENTRIES = 36
SLOTS = 3
QUEUE = 6
#: Requests a second of a heavy day, and how much more of them a burst brings.
RATE = 234.0
LOADS = (0.8, 1.0, 1.25)
SPAN_S = 12.0

#: Seconds of a step, of each further stream in it, of a chunk of a prompt.
STEP_S = 0.00455
STREAM_S = 0.00199
CHUNK_S = 0.0083
STRIDE = 6
CHUNKS = 2
EVENTS = 15
EXPERT_SHARE = 0.85
#: Times the mean that the fullest rank has, with a map that fits and in the
#: second after a turn.
SKEW, TURNED_SKEW = 1.45, 3.1
TURN_EVERY_S = 3.9
TURNED_S = 1.0

#: Seconds to the first event, and between events, of a stream in time.
FIRST_S, PAUSE_S = 0.6, 0.2
#: Seconds after which a caller leaves that has got nothing.
PATIENCE_S = 2.4
MOST_SENDS = 4
SEEDS = (1, 2)


class Policy(NamedTuple):
    """What is compared."""

    name: str
    #: Calls that may wait at an upstream, as a share of its slots.
    waiting_share: float
    #: Seconds until the other entries know of a call.
    lag_s: float = 0.02
    #: Upstreams that are drawn for a call; none: all.
    drawn: int | None = None


POLICIES = (
    Policy('as built', upstream_selection.QUEUE_SHARE),
    Policy('none wait', 0),
    Policy('calls known at once', upstream_selection.QUEUE_SHARE, 0),
    Policy('calls known 0.2 s late', upstream_selection.QUEUE_SHARE, 0.2),
    Policy('of 64 drawn', upstream_selection.QUEUE_SHARE, drawn=64),
    Policy('of 16 drawn', upstream_selection.QUEUE_SHARE, drawn=16),
    Policy('of 8 drawn', upstream_selection.QUEUE_SHARE, drawn=8),
    Policy('of 4 drawn', upstream_selection.QUEUE_SHARE, drawn=4),
    Policy('of 2 drawn', upstream_selection.QUEUE_SHARE, drawn=2),
)


@dataclass(eq=False, slots=True)
class Stream:
    """One request and what its caller has seen."""

    asked_at: float
    entry: int = 0
    rank: int = -1
    chunks_left: int = CHUNKS
    events: int = 0
    last_at: float = 0
    in_time: bool = True
    over: bool = False
    has_returned: bool = False
    tried: list[str] = field(default_factory=list)


class Rank:
    """One engine: streams in work and those that wait."""

    def __init__(self) -> None:
        """Start without work."""
        self.active: list[Stream] = []
        self.waiting: deque[Stream] = deque()

    def take(self, stream: Stream) -> bool:
        """Take a stream; tell whether there is room."""
        if len(self.active) + len(self.waiting) >= SLOTS + QUEUE:
            return False
        self.waiting.append(stream)
        return True

    def begin_pass(self) -> float:
        """Fill the slots; return the seconds that its own part takes."""
        while self.waiting and len(self.active) < SLOTS:
            stream = self.waiting.popleft()
            if not stream.over:
                self.active.append(stream)
        if not self.active:
            return 0
        steps_s = STRIDE * (STEP_S + STREAM_S * len(self.active))
        reads = any(stream.chunks_left for stream in self.active)
        return steps_s + CHUNKS * CHUNK_S * reads


class Play:
    """One seeded day of one policy."""

    def __init__(self, policy: Policy, load: float, seed: int) -> None:
        """Start with all idle."""
        self.ended: Counter[str] = Counter()
        self._policy = policy
        self._rate = RATE * load
        self._rng = random.Random(seed)
        self._now: float = 0
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._ranks = [Rank() for _ in range(RANKS)]
        self._tables = [UpstreamTable() for _ in range(ENTRIES)]
        for table in self._tables:
            table.apply_records(
                UpstreamRecord(str(rank), 's', '10.0.0.1:80', 'dc', SLOTS)
                for rank in range(RANKS)
            )
        self._at(0, self._arrive)
        self._at(0, self._pass)

    def run(self) -> Counter[str]:
        """Play; return how requests ended."""
        while self._events[0][0] < SPAN_S:
            moment, _, act = heapq.heappop(self._events)
            self._now = moment
            act()
        return self.ended

    def _at(self, after_s: float, act: Callable[[], None]) -> None:
        entry = (self._now + after_s, next(self._numbers), act)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        self._at(self._rng.expovariate(self._rate), self._arrive)
        stream = Stream(self._now)
        self._at(PATIENCE_S, lambda: self._lose_patience(stream))
        self._ask(stream)

    def _ask(self, stream: Stream) -> None:
        """Send a request until an upstream takes it, or refuse it."""
        stream.entry = self._rng.randrange(ENTRIES)
        stream.tried.clear()
        table = self._tables[stream.entry]
        while len(stream.tried) < MOST_SENDS and not stream.over:
            requirements = CallRequirements('dc', PAUSE_S, stream.tried)
            members = table.list_service('s')
            if self._policy.drawn is not None:
                members = tuple(self._rng.sample(members, self._policy.drawn))
            upstream = select_upstream(
                members, requirements, self._now, self._rng
            )
            if upstream is None:
                break
            identity = upstream.record.identity
            stream.tried.append(identity)
            if self._ranks[int(identity)].take(stream):
                stream.rank = int(identity)
                self._count(stream, 1)
                return
        self._refuse(stream)

    def _refuse(self, stream: Stream) -> None:
        """Callers come back once."""
        if stream.has_returned:
            self._end(stream, 'refused')
        elif not stream.over:
            stream.has_returned = True
            wait_s = busy_retry_after_s(self._rng.random())
            self._at(wait_s, lambda: self._ask(stream))

    def _count(self, stream: Stream, change: int) -> None:
        """Note a call's begin or end, at its entry and later at the others."""
        identity = str(stream.rank)
        own = self._tables[stream.entry].find(identity)
        if own is not None:
            own.own_calls += change
        entry = stream.entry
        self._at(
            self._policy.lag_s, lambda: self._tell(entry, identity, change)
        )

    def _tell(self, entry: int, identity: str, change: int) -> None:
        for number, table in enumerate(self._tables):
            upstream = table.find(identity)
            if number != entry and upstream is not None:
                others = upstream.other_entries_calls
                others[str(entry)] = others.get(str(entry), 0) + change

    def _lose_patience(self, stream: Stream) -> None:
        if not stream.events:
            self._end(stream, 'given up')

    def _end(self, stream: Stream, how: str) -> None:
        if stream.over:
            return
        stream.over = True
        self.ended[how] += 1
        if stream.rank >= 0:
            self._count(stream, -1)

    def _pass(self) -> None:
        """Begin a pass; its events come as it ends."""
        own_s = max(rank.begin_pass() for rank in self._ranks)
        since_turn_s = self._now % TURN_EVERY_S
        skew = TURNED_SKEW if since_turn_s < TURNED_S else SKEW
        stretch = 1 - EXPERT_SHARE + EXPERT_SHARE * skew
        self._at(max(0.01, own_s * stretch), self._end_pass)

    def _end_pass(self) -> None:
        for rank in self._ranks:
            rank.active = [one for one in rank.active if not one.over]
            for stream in rank.active:
                self._advance(stream)
            rank.active = [one for one in rank.active if not one.over]
        self._pass()

    def _advance(self, stream: Stream) -> None:
        """Read a prompt on, or write an event."""
        if stream.chunks_left:
            stream.chunks_left = 0
            return
        since = stream.last_at if stream.events else stream.asked_at
        allowed_s = PAUSE_S if stream.events else FIRST_S
        stream.in_time &= self._now - since <= allowed_s
        stream.events += 1
        stream.last_at = self._now
        if stream.events == EVENTS:
            self._end(stream, 'in time' if stream.in_time else 'late')


def play(policy: Policy, load: float) -> dict[str, float]:
    """Return shares of requests by how they ended, over all seeds."""
    ended: Counter[str] = Counter()
    with mock.patch.object(
        upstream_selection, 'QUEUE_SHARE', policy.waiting_share
    ):
        for seed in SEEDS:
            ended.update(Play(policy, load, seed).run())
    total = sum(ended.values())
    return {how: number / total for how, number in ended.items()}


def main() -> None:
    """Print the table."""
    ways = ('in time', 'late', 'given up', 'refused')
    sys.stdout.write(f'| load | policy | {" | ".join(ways)} |\n')
    sys.stdout.write(f'| --- | --- |{" --- |" * len(ways)}\n')
    for load in LOADS:
        for policy in POLICIES:
            shares = play(policy, load)
            cells = ' | '.join(f'{shares.get(way, 0):.3f}' for way in ways)
            sys.stdout.write(f'| {load} | {policy.name} | {cells} |\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
