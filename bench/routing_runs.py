"""Runs a policy against the queueing model."""

from __future__ import annotations

from collections import Counter, deque
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from bench.queueing import (
    FULL_RATE,
    Engine,
    Job,
    Snapshot,
    Workload,
)
from bench.routing_policies import (
    Ours,
    Policy,
    fingerprint_of_job,
)

if TYPE_CHECKING:
    from collections.abc import Callable

REPORT_EVERY = 20
#: Steps until membership has dropped a dead upstream (5 s).
LEASE = 200
#: Steps until a dead upstream is back.
RESTART = 400
MOST_ATTEMPTS = 3
MOST_RESENDS = 20
#: Steps between two updates of the shared suspects, and until a caller whose
#: request crashed an engine sends it again.
SHARE_EVERY = 4
RESEND_AFTER = 10


class Scenario(NamedTuple):
    """One run; ``lag`` is the age of the load reports in steps."""

    load: float = 0.9
    engines: int = 16
    entries: int = 1
    lag: int = 20
    steps: int = 1200
    warm_up: int = 300
    kill_at: int = 0
    poison_at: int = 0
    events: bool = False
    seed: int = 7


class Resend(NamedTuple):
    """The poison request's caller sends again at a step."""

    at: int
    count: int


class Outcome(NamedTuple):
    """What a run leaves to be read."""

    scenario: Scenario
    jobs: list[Job]
    gaps: Counter[int]
    spread: list[float]
    lost: int
    failed_after_death: list[int]


class Run:
    """One scenario under one policy."""

    def __init__(
        self, scenario: Scenario, make: Callable[[Random, int, int], Policy]
    ) -> None:
        """Build engines, entries and workload."""
        rng = Random(scenario.seed)
        self.scenario = scenario
        self.engines = [Engine(number) for number in range(scenario.engines)]
        self.entries = [
            make(
                Random(scenario.seed + number),
                scenario.engines,
                scenario.entries,
            )
            for number in range(scenario.entries)
        ]
        rate = scenario.load * FULL_RATE * scenario.engines / 16
        self._work = Workload(rng, rate, scenario.entries)
        self._history: deque[list[Snapshot]] = deque(
            maxlen=max(1, scenario.lag + 1)
        )
        self.jobs: list[Job] = []
        self._waiting: list[tuple[Job, frozenset[int]]] = []
        self._retries: list[tuple[Job, frozenset[int]]] = []
        self._dead_since: dict[int, int] = {}
        self._deaths: Counter[str] = Counter()
        self.spread: list[float] = []
        self.failed_after_death: list[int] = []
        self._resends: deque[Resend] = deque()
        self.lost = 0

    def run(self) -> Outcome:
        """Run all steps."""
        for now in range(self.scenario.steps):
            self._report(now)
            self._events(now)
            self._arrive(now)
            for engine in self.engines:
                if engine.alive:
                    self._end_all(engine.step(now), now)
            self._release(now)
            loads = [one.load for one in self.engines if one.alive]
            if now >= self.scenario.warm_up:
                mean = sum(loads) / len(loads)
                self.spread.append(max(loads) / mean if mean else 1)
        gaps: Counter[int] = Counter()
        for engine in self.engines:
            gaps.update(engine.gaps)
        return Outcome(
            self.scenario,
            self.jobs,
            gaps,
            self.spread,
            self.lost,
            self.failed_after_death,
        )

    def _report(self, now: int) -> None:
        self._history.append(
            [
                Snapshot(len(one.running), len(one.waiting), now)
                for one in self.engines
            ]
        )
        if not now % SHARE_EVERY:
            for entry in self.entries:
                entry.suspect(self._deaths, now)
        if now % REPORT_EVERY:
            return
        shown = [
            one
            for one in self.engines
            if one.alive or now - self._dead_since[one.number] < LEASE
        ]
        for entry in self.entries:
            entry.report(shown, self._history[0], now)
        for engine in self.engines:
            self._tell_cache(engine, now)

    def _tell_cache(self, engine: Engine, now: int) -> None:
        events = []
        while engine.log and engine.log[0].step <= now - self.scenario.lag:
            events.append(engine.log.popleft().event)
        if events and self.scenario.events:
            for entry in self.entries:
                entry.cache_events(engine, events)

    def _events(self, now: int) -> None:
        if self.scenario.kill_at and now == self.scenario.kill_at:
            self._crash(self.engines[0], now)
        if self.scenario.poison_at and now == self.scenario.poison_at:
            self._enter(make_poison(self.scenario, now, 0), now)
        if self._resends and self._resends[0].at <= now:
            count = self._resends.popleft().count
            self._enter(make_poison(self.scenario, now, count), now)
        for engine in self.engines:
            if engine.alive:
                self._check_poison(engine, now)
            elif now - self._dead_since[engine.number] >= RESTART:
                engine.alive = True
                engine.incarnation += 1

    def _check_poison(self, engine: Engine, now: int) -> None:
        for _, _, job in engine.running:
            if job.poison and now - job.started >= 5:
                self.lost += 1
                self._crash(engine, now)
                return

    def _arrive(self, now: int) -> None:
        pending = self._waiting + self._retries
        self._waiting = []
        self._retries = []
        for job, exclude in pending:
            self._dispatch(job, exclude, now)
        for job in self._work.arrivals(now):
            self.jobs.append(job)
            self._enter(job, now)

    def _enter(self, job: Job, now: int) -> None:
        if self.entries[job.entry].admit(job, now):
            self._dispatch(job, frozenset(), now)

    def _release(self, now: int) -> None:
        for entry in self.entries:
            for job in entry.released(now):
                if not job.refused:
                    self._dispatch(job, frozenset(), now)

    def _dispatch(self, job: Job, exclude: frozenset[int], now: int) -> None:
        entry = self.entries[job.entry]
        number = entry.pick(job, exclude, now)
        if number is None:
            self._waiting.append((job, exclude))
            return
        job.engine = number
        job.started = now
        job.attempts += 1
        entry.start(job, now)
        if self.engines[number].alive:
            self.engines[number].submit(job)
            return
        self.failed_after_death.append(now - self._dead_since[number])
        self._fail(job, exclude, now, crashed=False)

    def _end_all(self, ended: list[Job], now: int) -> None:
        for job in ended:
            self._end(job, now)

    def _end(self, job: Job, now: int) -> None:
        entry = self.entries[job.entry]
        if job.first >= 0:
            self._deaths.pop(fingerprint_of_job(job), None)
        entry.end(job, now)
        entry.close(job, now)

    def _crash(self, engine: Engine, now: int) -> None:
        self._dead_since[engine.number] = now
        for job in engine.crash():
            self._deaths[fingerprint_of_job(job)] += 1
            job.first = -1
            self._fail(job, frozenset(), now, crashed=True)

    def _fail(
        self, job: Job, exclude: frozenset[int], now: int, *, crashed: bool
    ) -> None:
        entry = self.entries[job.entry]
        entry.fail(job, now, crashed=crashed)
        if job.poison:
            entry.close(job, now)
            if -job.number < MOST_RESENDS:
                self._resends.append(Resend(now + RESEND_AFTER, -job.number))
        elif job.attempts < MOST_ATTEMPTS and entry.may_retry(now):
            self._retries.append((job, exclude | {job.engine}))
        else:
            entry.close(job, now)


def make_poison(scenario: Scenario, now: int, resends: int) -> Job:
    """Return the poison request; its caller goes from entry to entry."""
    entry = resends % scenario.entries
    chain = (1, 2, 3, 4)
    return Job(-1 - resends, 0, 0, chain, 30, now, entry, poison=True)


def run_ours(scenario: Scenario, **options: object) -> Outcome:
    """Run the router under test."""
    return Run(
        scenario,
        lambda rng, engines, entries: Ours(
            rng, engines, entries=entries, **options
        ),
    ).run()


def run_baseline(scenario: Scenario, kind: type[Policy]) -> Outcome:
    """Run one of the baselines."""
    return Run(scenario, lambda rng, engines, _: kind(rng, engines)).run()
