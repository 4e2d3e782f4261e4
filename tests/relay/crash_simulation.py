"""A simulated fleet whose upstreams end under requests with certain parts.

Entries with the real tables exchange their reports over links with delays and
losses, and are restarted or cut off. Time is simulated; a seed determines all.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple

from snipebend.relay.causes import RequestCauses
from snipebend.relay.crash_evidence import BrokenCall, CrashEvidence
from snipebend.relay.crash_report import UpstreamEnd
from snipebend.relay.crash_table import CrashTable
from snipebend.relay.crash_trials import MAX_TRIAL_DELAY_S

LIMIT = 3
QUARANTINE_S = 600.0
#: Ends after which, and a time after them, few bad requests may be sent.
BUDGET_ENDS = 5
SETTLING_S = 3.0
#: Largest number of bad requests that may be sent after that.
MAX_LATER = 3
GOSSIP_S = 0.025
REPEAT_S = 1.0
STALL_S = 1.5
#: Time after the last bad request by which the sound ones are served again.
RECOVERY_S = 15.0


class Scenario(NamedTuple):
    """What happens in a simulation; rates are requests per second."""

    entries: int = 5
    upstreams: int = 14
    #: Whether the upstreams run in lock-step, as one group.
    group: bool = False
    bad_parts: int = 1
    bad_rate: float = 7.0
    sound_rate: float = 40.0
    #: The place of the bad part among the shared ones.
    place: int = 1
    #: Seconds from a request to the first event of its response.
    first_event_s: float = 0.2
    response_s: float = 2.5
    #: Seconds from the first event until a bad request ends its upstream; a
    #: negative time is before the first event.
    crash_after_s: float = -0.001
    #: Seconds for which an ended upstream is away.
    away_s: float = 4.0
    loss: float = 0.1
    #: Times at which all upstreams end at once, whatever they run.
    mass_ends: tuple[float, ...] = ()
    #: Times at which one entry is restarted, in turn.
    restarts: tuple[float, ...] = ()
    #: From when to when the first entry is cut off from the others.
    cut: tuple[float, float] = (0, 0)
    bad_from_s: float = 5.0
    bad_until_s: float = math.inf
    until_s: float = 30.0


@dataclass
class SimulatedUpstream:
    life: int = 0
    back_at: float = 0.0
    calls: set = field(default_factory=set)


@dataclass(eq=False)
class SimulatedCall:
    entry: int
    upstream: int
    life: int
    causes: RequestCauses
    is_bad: bool
    started_at: float
    events: int = 0


class Outcome(NamedTuple):
    ends: list
    later: Counter
    sound: Counter
    entries: list


class CrashSimulation:
    """Runs one scenario."""

    def __init__(self, scenario, seed):
        self._cfg = scenario
        self._rng = random.Random(seed)
        self._queue = []
        self._numbers = count()
        self.now = 0.0
        self._upstreams = [
            SimulatedUpstream() for _ in range(scenario.upstreams)
        ]
        self._entries = [self._make_entry() for _ in range(scenario.entries)]
        self._restarted_at = [0.0 for _ in self._entries]
        self._repeat_at = [0.0 for _ in self._entries]
        self._group_opens_at = 0.0
        #: Ends by bad part, and the bad requests sent too late.
        self._ends = {part: [] for part in self._bad_names()}
        self._later = Counter()
        self._sound = Counter()

    def run(self):
        """Run until the end; return what was seen."""
        cfg = self._cfg
        self._at(0, self._arrive_sound)
        self._at(cfg.bad_from_s, self._arrive_bad)
        for entry in range(cfg.entries):
            self._at(entry / 100, self._gossip, entry)
        for number, at in enumerate(cfg.restarts):
            self._at(at, self._restart, number % cfg.entries)
        for at in cfg.mass_ends:
            self._at(at, self._end_all)
        while self._queue and self._queue[0][0] < cfg.until_s:
            event = heappop(self._queue)
            self.now = event[0]
            event[2](*event[3])
        return Outcome(self._ends, self._later, self._sound, self._entries)

    def _at(self, at, action, *args):
        heappush(self._queue, (at, next(self._numbers), action, args))

    def _after(self, delay_s, action, *args):
        self._at(self.now + delay_s, action, *args)

    def _make_entry(self):
        table = CrashTable(
            LIMIT, QUARANTINE_S, self._rng.uniform(0, MAX_TRIAL_DELAY_S)
        )
        return table, CrashEvidence()

    def _bad_names(self):
        return [f'bad-{number}' for number in range(self._cfg.bad_parts)]

    def _restart(self, entry):
        self._entries[entry] = self._make_entry()
        self._restarted_at[entry] = self.now

    def _arrive_sound(self):
        self._after(
            self._rng.expovariate(self._cfg.sound_rate), self._arrive_sound
        )
        parts = ('system', f'w-{self._rng.randrange(10)}')
        parts += (f's-{self._rng.randrange(40)}',)
        self._serve(parts, bad='')

    def _arrive_bad(self):
        self._after(self._rng.expovariate(self._cfg.bad_rate), self._arrive_bad)
        if self.now > self._cfg.bad_until_s:
            return
        bad = self._rng.choice(self._bad_names())
        shared = ['system', 'w-0']
        shared.insert(self._cfg.place, bad)
        self._serve(tuple(shared), bad)

    def _serve(self, parts, bad):
        entry = self._rng.randrange(len(self._entries))
        causes = RequestCauses(f'r{next(self._numbers)}', parts)
        table, _ = self._entries[entry]
        served = 'late' if self._is_settled('') else 'early'
        if self.now > self._cfg.bad_until_s + RECOVERY_S:
            served = 'after'
        if table.find_quarantine(causes, self.now) is not None:
            if not bad:
                self._sound[served, 'refused'] += 1
            return
        upstream = self._choose()
        if upstream is None:
            return
        if bad:
            self._count_later(entry, bad)
        else:
            self._sound[served, 'begun'] += 1
        self._call(entry, upstream, causes, is_bad=bool(bad))

    def _is_settled(self, bad):
        """Return whether the ends lie far enough back to be judged by."""
        ends = self._ends.get(bad) or max(self._ends.values(), key=len)
        if len(ends) < BUDGET_ENDS:
            return False
        return self.now > ends[BUDGET_ENDS - 1] + SETTLING_S * (1 + (not bad))

    def _count_later(self, entry, bad):
        in_touch = self.now > self._restarted_at[entry] + SETTLING_S
        if self._is_cut(entry, self.now - SETTLING_S):
            in_touch = False
        if in_touch and self._is_settled(bad):
            self._later[bad] += 1

    def _choose(self):
        if self._cfg.group and self.now < self._group_opens_at:
            return None
        able = [one for one in self._upstreams if one.back_at <= self.now]
        if not able:
            return None
        least = min(able, key=lambda one: (len(one.calls), self._rng.random()))
        return self._upstreams.index(least)

    def _call(self, entry, number, causes, *, is_bad):
        upstream = self._upstreams[number]
        call = SimulatedCall(
            entry, number, upstream.life, causes, is_bad, self.now
        )
        upstream.calls.add(call)
        self._after(self._cfg.first_event_s, self._send_event, call)
        if is_bad:
            crash_s = self._cfg.first_event_s + self._cfg.crash_after_s
            self._after(crash_s, self._crash, call)
        else:
            self._after(self._cfg.response_s, self._complete, call)

    def _send_event(self, call):
        calls = self._upstreams[call.upstream].calls
        if call not in calls or self._is_stalled():
            return
        call.events += 1
        table, evidence = self._entries[call.entry]
        if call.events == 1:
            self._respond(evidence, table, call)
        table.record_activity(call.causes, self.now)
        self._after(0.1, self._send_event, call)

    def _respond(self, evidence, table, call):
        outlived = evidence.record_response(
            str(call.upstream), f'{call.upstream}@{call.life}', call.started_at
        )
        for one in outlived:
            if one.events:
                table.record_survival(one.causes, one.broken_at)

    def _complete(self, call):
        calls = self._upstreams[call.upstream].calls
        if call in calls and not self._is_stalled():
            calls.remove(call)
            table, _ = self._entries[call.entry]
            table.record_survival(call.causes, self.now)

    def _crash(self, call):
        upstream = self._upstreams[call.upstream]
        if call not in upstream.calls or self._is_stalled():
            return
        bad = next(part for part in call.causes.parts if part in self._ends)
        self._ends[bad].append(self.now)
        self._end(call.upstream)

    def _is_stalled(self):
        """Return whether the upstreams wait for one that has ended."""
        return self._cfg.group and self.now < self._group_opens_at

    def _end_all(self):
        for number, _ in enumerate(self._upstreams):
            self._end(number)

    def _end(self, number):
        upstream = self._upstreams[number]
        broken = [
            self._break(call)
            for call in sorted(upstream.calls, key=lambda one: one.started_at)
        ]
        upstream.calls.clear()
        upstream.back_at = self.now + self._cfg.away_s
        upstream.life += 1
        self._after(0.01, self._record_end, number, broken)
        if self._cfg.group:
            self._group_opens_at = upstream.back_at + 0.6
            self._after(STALL_S, self._cut_off, self.now)

    def _cut_off(self, since):
        """Break the calls of the other ranks of a group."""
        for upstream in self._upstreams:
            for call in sorted(upstream.calls, key=lambda one: one.started_at):
                self._break(call)
            upstream.calls.clear()

    def _break(self, call):
        _, evidence = self._entries[call.entry]
        evidence.record_broken_call(
            BrokenCall(
                str(call.upstream),
                f'{call.upstream}@{call.life}',
                call.causes,
                call.events,
                call.started_at,
                self.now,
            )
        )
        self._after(0.005, self._probe, call)
        return call

    def _probe(self, call):
        if self._upstreams[call.upstream].life == call.life:
            _, evidence = self._entries[call.entry]
            evidence.record_accepted_connection(str(call.upstream), self.now)

    def _record_end(self, number, broken):
        entries = {call.entry for call in broken}
        for entry in sorted(entries):
            table, evidence = self._entries[entry]
            for call in evidence.record_end(str(number), self.now):
                table.record_end(
                    call.causes,
                    call.incarnation,
                    UpstreamEnd(
                        call.started_at, call.broken_at, bool(call.events)
                    ),
                )

    def _is_cut(self, entry, since=None):
        begins, ends = self._cfg.cut
        return entry == 0 and begins <= self.now and (since or self.now) < ends

    def _gossip(self, entry):
        self._after(GOSSIP_S, self._gossip, entry)
        table, _ = self._entries[entry]
        if not table.has_news and self.now < self._repeat_at[entry]:
            return
        self._repeat_at[entry] = self.now + REPEAT_S
        report = table.make_report(self.now)
        for other, _ in enumerate(self._entries):
            lost = self._rng.random() < self._cfg.loss
            cut = self._is_cut(entry) or self._is_cut(other)
            if other != entry and not lost and not cut:
                delay_s = self._rng.uniform(0.002, 0.04)
                self._after(delay_s, self._receive, other, report)

    def _receive(self, entry, report):
        table, _ = self._entries[entry]
        table.apply_report(report, self.now)
