"""Entries under an upstream's limit, with news that come late or not at all.

Callers' wishes fall on entries by chance; an entry that its book gives no room
diverts the call. All moments are seconds of a simulated clock.
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect_left
from itertools import count

from snipebend.edge.gossip import REPEAT_EVERY_S, SILENT_AFTER_S, TELL_EVERY_S
from snipebend.relay.facts import AnswerFacts, NamedLimit
from snipebend.relay.limit_book import LimitBook

#: From a call's beginning to its answer's head.
ANSWER_S = 0.02
#: One way between entries, at the most.
WAY_S = 0.003
LOST = 0.02
UPSTREAM = 'i-1'


class Entry:
    """One entry's book, and what it told last."""

    def __init__(self, started_at):
        self.book = LimitBook()
        self.started_at = started_at
        self.heard_at = {}
        self.told = None
        self.told_at = 0.0
        self.frozen_until = 0.0
        #: Whom it reaches and hears; none: everybody.
        self.side = None


class Fleet:
    """Entries, one upstream, and its limit by the time of day."""

    def __init__(
        self,
        entries,
        limit_at,
        wishes_per_s,
        seed=1,
        lost=LOST,
        repeat_every_s=REPEAT_EVERY_S,
    ):
        self.entries = [Entry(0.0) for _ in range(entries)]
        self.limit_at = limit_at
        #: When each call reached the upstream, and those that were diverted.
        self.begun = []
        self.diverted = 0
        self._wishes_per_s = wishes_per_s
        self._lost = lost
        self._repeat_every_s = repeat_every_s
        self._silent_after_s = max(SILENT_AFTER_S, 2 * repeat_every_s)
        self._rng = random.Random(seed)
        self._order = count()
        self._events = []
        for at in range(entries):
            self._later(self._rng.random() * TELL_EVERY_S, self._tell, at)
        self._later(0.0, self._wish)

    def at(self, moment, act):
        """Do something at a moment."""
        heapq.heappush(
            self._events, (moment, next(self._order), lambda _: act(), ())
        )

    def play(self, until):
        while self._events and self._events[0][0] < until:
            moment, _, act, args = heapq.heappop(self._events)
            act(moment, *args)
        return self

    def most_in(self, span_s, after=0.0):
        """Return the most calls that any such span holds."""
        begun = [at for at in self.begun if at >= after]
        return max(
            (
                bisect_left(begun, at + span_s) - place
                for place, at in enumerate(begun)
            ),
            default=0,
        )

    def calls(self, begin, end):
        return sum(begin <= at < end for at in self.begun)

    def restart(self, number, now):
        self.entries[number] = Entry(now)

    def press(self, wishes_per_s):
        """Have callers wish for so many calls a second from now on."""
        self._wishes_per_s = wishes_per_s

    def _later(self, moment, act, *args):
        heapq.heappush(self._events, (moment, next(self._order), act, args))

    def _wish(self, now):
        self._later(now + self._rng.expovariate(self._wishes_per_s), self._wish)
        entry = self._rng.choice(self.entries)
        if now < entry.frozen_until:
            return
        if not entry.book.has_room(UPSTREAM, now):
            self.diverted += 1
            return
        entry.book.note_call(UPSTREAM, now)
        self.begun.append(now)
        self._later(now + ANSWER_S, self._answer, entry, now)

    def _answer(self, now, entry, begun_at):
        per_s = self.limit_at(now)
        limit = None if per_s is None else NamedLimit(per_s)
        facts = AnswerFacts(proved=True, limit=limit)
        entry.book.note_answer(UPSTREAM, facts, begun_at, now)

    def _tell(self, now, number):
        self._later(now + TELL_EVERY_S, self._tell, number)
        entry = self.entries[number]
        if now < entry.frozen_until:
            return
        self._weigh_silence(entry, now)
        told = entry.book.tell(now)
        known = {one: (say.calls, say.per_s) for one, say in told.items()}
        if known == entry.told and now < entry.told_at + self._repeat_every_s:
            return
        entry.told = known
        entry.told_at = now
        for other in self.entries:
            if other is entry or self._rng.random() < self._lost:
                continue
            if entry.side != other.side:
                continue
            way_s = WAY_S * self._rng.random()
            self._later(now + way_s, self._hear, other, number, entry, told)

    def _hear(self, now, other, number, entry, told):
        if now < other.frozen_until:
            self._later(
                other.frozen_until, self._hear, other, number, entry, told
            )
            return
        other.heard_at[number] = now
        other.book.take_told(str(number), entry.started_at, told, now)

    def _weigh_silence(self, entry, now):
        heard = sum(
            at > now - self._silent_after_s for at in entry.heard_at.values()
        )
        entry.book.share = (heard + 1) / len(self.entries)
