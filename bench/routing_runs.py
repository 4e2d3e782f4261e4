"""Runs routing policies against the queueing model."""

from __future__ import annotations

from collections import Counter, deque
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from bench.queueing import (
    FULL_LOAD_PER_STEP,
    Engine,
    Job,
    Snapshot,
    Workload,
)
from bench.routing_policies import (
    Policy,
    RouterPolicy,
    job_fingerprint,
)

if TYPE_CHECKING:
    from collections.abc import Callable

#: Steps between two load reports.
REPORT_INTERVAL = 20
#: Steps until the directory drops a crashed upstream (5 s).
LEASE_STEPS = 200
#: Steps until a crashed upstream has restarted.
RESTART_STEPS = 400
MAX_ATTEMPTS = 3
MAX_RESENDS = 20
#: Steps between two updates of the shared suspects, and steps after which a
#: caller resends a request that crashed an engine.
SUSPECTS_INTERVAL = 4
RESEND_DELAY = 10


class Scenario(NamedTuple):
    """Parameters of a run; ``lag`` is the age of load reports in steps."""

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
    """A resend of the poison request: its step, and the number of sends."""

    at: int
    count: int


class Outcome(NamedTuple):
    """The results of a run."""

    scenario: Scenario
    jobs: list[Job]
    token_gaps: Counter[int]
    spread: list[float]
    lost: int
    failed_after_death: list[int]


class Run:
    """A simulation of a scenario under a policy."""

    def __init__(
        self, scenario: Scenario, make: Callable[[Random, int, int], Policy]
    ) -> None:
        """Create the engines, the entries and the workload."""
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
        rate = scenario.load * FULL_LOAD_PER_STEP * scenario.engines / 16
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
        """Run all steps and return the results."""
        for now in range(self.scenario.steps):
            self._report_loads(now)
            self._inject_failures(now)
            self._dispatch_arrivals(now)
            for engine in self.engines:
                if engine.alive:
                    self._finish_all(engine.step(now), now)
            self._dispatch_released(now)
            loads = [one.request_count for one in self.engines if one.alive]
            if now >= self.scenario.warm_up:
                mean = sum(loads) / len(loads)
                self.spread.append(max(loads) / mean if mean else 1)
        gaps: Counter[int] = Counter()
        for engine in self.engines:
            gaps.update(engine.token_gaps)
        return Outcome(
            self.scenario,
            self.jobs,
            gaps,
            self.spread,
            self.lost,
            self.failed_after_death,
        )

    def _report_loads(self, now: int) -> None:
        self._history.append(
            [
                Snapshot(len(one.running), len(one.waiting), now)
                for one in self.engines
            ]
        )
        if not now % SUSPECTS_INTERVAL:
            for entry in self.entries:
                entry.update_suspects(self._deaths, now)
        if now % REPORT_INTERVAL:
            return
        shown = [
            one
            for one in self.engines
            if one.alive or now - self._dead_since[one.number] < LEASE_STEPS
        ]
        for entry in self.entries:
            entry.update_reports(shown, self._history[0], now)
        for engine in self.engines:
            self._report_cache_events(engine, now)

    def _report_cache_events(self, engine: Engine, now: int) -> None:
        events = []
        while (
            engine.cache_log
            and engine.cache_log[0].step <= now - self.scenario.lag
        ):
            events.append(engine.cache_log.popleft().event)
        if events and self.scenario.events:
            for entry in self.entries:
                entry.apply_cache_events(engine, events)

    def _inject_failures(self, now: int) -> None:
        if self.scenario.kill_at and now == self.scenario.kill_at:
            self._crash(self.engines[0], now)
        if self.scenario.poison_at and now == self.scenario.poison_at:
            self._admit(make_poison_job(self.scenario, now, 0), now)
        if self._resends and self._resends[0].at <= now:
            count = self._resends.popleft().count
            self._admit(make_poison_job(self.scenario, now, count), now)
        for engine in self.engines:
            if engine.alive:
                self._check_poison(engine, now)
            elif now - self._dead_since[engine.number] >= RESTART_STEPS:
                engine.alive = True
                engine.incarnation += 1

    def _check_poison(self, engine: Engine, now: int) -> None:
        for _, _, job in engine.running:
            if job.poison and now - job.started_at >= 5:
                self.lost += 1
                self._crash(engine, now)
                return

    def _dispatch_arrivals(self, now: int) -> None:
        pending = self._waiting + self._retries
        self._waiting = []
        self._retries = []
        for job, exclude in pending:
            self._dispatch(job, exclude, now)
        for job in self._work.sample_arrivals(now):
            self.jobs.append(job)
            self._admit(job, now)

    def _admit(self, job: Job, now: int) -> None:
        if self.entries[job.entry].admit(job, now):
            self._dispatch(job, frozenset(), now)

    def _dispatch_released(self, now: int) -> None:
        for entry in self.entries:
            for job in entry.release_queued(now):
                if not job.refused:
                    self._dispatch(job, frozenset(), now)

    def _dispatch(self, job: Job, exclude: frozenset[int], now: int) -> None:
        entry = self.entries[job.entry]
        number = entry.pick(job, exclude, now)
        if number is None:
            self._waiting.append((job, exclude))
            return
        job.engine = number
        job.started_at = now
        job.attempts += 1
        entry.start(job, now)
        if self.engines[number].alive:
            self.engines[number].submit(job)
            return
        self.failed_after_death.append(now - self._dead_since[number])
        self._fail(job, exclude, now, crashed=False)

    def _finish_all(self, finished: list[Job], now: int) -> None:
        for job in finished:
            self._finish(job, now)

    def _finish(self, job: Job, now: int) -> None:
        entry = self.entries[job.entry]
        if job.first_token_at >= 0:
            self._deaths.pop(job_fingerprint(job), None)
        entry.finish(job, now)
        entry.close(job, now)

    def _crash(self, engine: Engine, now: int) -> None:
        self._dead_since[engine.number] = now
        for job in engine.crash():
            self._deaths[job_fingerprint(job)] += 1
            job.first_token_at = -1
            self._fail(job, frozenset(), now, crashed=True)

    def _fail(
        self, job: Job, exclude: frozenset[int], now: int, *, crashed: bool
    ) -> None:
        entry = self.entries[job.entry]
        entry.fail(job, now, crashed=crashed)
        if job.poison:
            entry.close(job, now)
            if -job.number < MAX_RESENDS:
                self._resends.append(Resend(now + RESEND_DELAY, -job.number))
        elif job.attempts < MAX_ATTEMPTS and entry.can_retry(now):
            self._retries.append((job, exclude | {job.engine}))
        else:
            entry.close(job, now)


def make_poison_job(scenario: Scenario, now: int, resends: int) -> Job:
    """Return a poison request; its caller sends it to the entries in turn."""
    entry = resends % scenario.entries
    chain = (1, 2, 3, 4)
    return Job(-1 - resends, 0, 0, chain, 30, now, entry, poison=True)


def run_router(scenario: Scenario, **options: object) -> Outcome:
    """Run a scenario with the router under test."""
    return Run(
        scenario,
        lambda rng, engines, entries: RouterPolicy(
            rng, engines, entries=entries, **options
        ),
    ).run()


def run_baseline(scenario: Scenario, kind: type[Policy]) -> Outcome:
    """Run a scenario with a baseline policy."""
    return Run(scenario, lambda rng, engines, _: kind(rng, engines)).run()
