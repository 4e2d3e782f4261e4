"""The policies that the routing benches compare, behind one interface."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from bench.queueing import BATCH, PATIENCE, STEP_S, WORKSPACES, Engine, Job
from snipebend.fleet.lookup import FleetIndex
from snipebend.fleet.parsing import parse_fleet
from snipebend.routing.messages import (
    Admitted,
    AttemptOutcome,
    Choice,
    ModelTarget,
    Queued,
    RoutingRequest,
)
from snipebend.routing.router import Router, RouterSettings
from snipebend.routing.scoring import ScoringRules
from snipebend.routing.views import LoadView, SuspectView, UpstreamView

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from bench.queueing import Snapshot
    from snipebend.routing.prefix_index import CacheEventView

PRIORITIES = ('high', 'middle', 'low')
WEIGHTS = (8, 3, 1)

_HEAD = """
name = "bench"
stale_policy = "serve"
[weights]
skew = 0.5
cost = 0.5
[routing]
request_timeout_s = 60.0
[[upstreams]]
name = "engine"
kind = "engine"
model = "model"
fencing = "checked"
max_concurrency = {limit}
slow_start_s = 5.0
ejection_failures = 3
ejection_s = 5.0
"""


def bench_fleet(workspaces: int = WORKSPACES, limit: int = BATCH) -> FleetIndex:
    """Return a fleet of one model whose workspaces have no tight limits."""
    parts = [_HEAD.format(limit=limit)]
    parts += [
        f'[[priorities]]\nname = "{name}"\nweight = {weight}\n'
        'queue_limit = 256\n'
        for name, weight in zip(PRIORITIES, WEIGHTS, strict=True)
    ]
    parts += [
        f'[[workspaces]]\nname = "w{number}"\napi_key = "key-{number:08}-x"\n'
        f'priority = "{PRIORITIES[number % 3]}"\nrate_per_s = 100000.0\n'
        'burst = 100000\nmax_concurrency = 10000\nweight = 1\nmodels = []\n'
        for number in range(workspaces)
    ]
    return FleetIndex(parse_fleet('\n'.join(parts), 'bench').unwrap())


class Policy:
    """Admits everything; a subclass chooses the engine."""

    def __init__(self, rng: Random, engines: int) -> None:
        """Keep the random source and count per engine."""
        self.rng = rng
        self.alive = list(range(engines))
        self.own: Counter[int] = Counter()
        self.reports: Sequence[Snapshot] = ()

    def admit(self, job: Job, now: int) -> bool:
        """Return whether the job may start; a refusal marks the job."""
        return True

    def released(self, now: int) -> list[Job]:
        """Return jobs that have waited and may start, or are refused."""
        return []

    def pick(self, job: Job, exclude: frozenset[int], now: int) -> int | None:
        """Return the engine for an attempt."""
        open_to = [one for one in self.alive if one not in exclude]
        return self.choose(job, open_to) if open_to else None

    def choose(self, job: Job, open_to: list[int]) -> int:
        """Return one of the engines."""
        raise NotImplementedError

    def start(self, job: Job, now: int) -> None:
        """Count an attempt."""
        self.own[job.engine] += 1

    def end(self, job: Job, now: int) -> None:
        """Count an attempt that was served or given up."""
        self.own[job.engine] -= 1

    def fail(self, job: Job, now: int, *, crashed: bool) -> None:
        """Count an attempt that failed."""
        self.own[job.engine] -= 1

    def close(self, job: Job, now: int) -> None:
        """Forget a job."""

    def may_retry(self, now: int) -> bool:
        """Tell whether a retry is allowed."""
        return True

    def report(
        self, engines: Sequence[Engine], reports: Sequence[Snapshot], now: int
    ) -> None:
        """Take the late reports of the engines that membership shows."""
        self.alive = [engine.number for engine in engines]
        self.reports = reports

    def suspect(self, deaths: Counter[str], now: int) -> None:
        """Take the shared list of suspects."""

    def cache_events(
        self, engine: Engine, events: Sequence[CacheEventView]
    ) -> None:
        """Take late cache events of an engine."""


class RoundRobin(Policy):
    """One after the other."""

    turn = 0

    def choose(self, job: Job, open_to: list[int]) -> int:
        """Return the next."""
        self.turn += 1
        return open_to[self.turn % len(open_to)]


class LeastOutstanding(Policy):
    """The least of the entry's own outstanding requests."""

    def choose(self, job: Job, open_to: list[int]) -> int:
        """Return the least loaded by own count."""
        return min(open_to, key=lambda one: (self.own[one], self.rng.random()))


class LeastReported(Policy):
    """The least load in the late reports, own work not counted in."""

    def choose(self, job: Job, open_to: list[int]) -> int:
        """Return the least loaded by report."""
        return min(
            open_to,
            key=lambda one: (
                sum(self.reports[one][:2]) if self.reports else 0,
                self.rng.random(),
            ),
        )


class RandomOfTwo(Policy):
    """The lesser of two by own count."""

    def choose(self, job: Job, open_to: list[int]) -> int:
        """Return the lesser of two drawn."""
        drawn = self.rng.sample(open_to, min(2, len(open_to)))
        return min(drawn, key=lambda one: self.own[one])


class Affinity(Policy):
    """The engine that last saw the longest prefix, however loaded it is."""

    def __init__(self, rng: Random, engines: int) -> None:
        """Start without memory."""
        super().__init__(rng, engines)
        self._seen: dict[int, int] = {}

    def choose(self, job: Job, open_to: list[int]) -> int:
        """Return the holder of the longest prefix, or the least loaded."""
        chosen = None
        for block in reversed(job.chain):
            if self._seen.get(block) in open_to:
                chosen = self._seen[block]
                break
        if chosen is None:
            chosen = min(open_to, key=lambda one: self.own[one])
        self._seen.update(dict.fromkeys(job.chain, chosen))
        return chosen


class Ours(Policy):
    """The router under test."""

    def __init__(
        self,
        rng: Random,
        engines: int,
        *,
        entries: int = 1,
        rules: ScoringRules | None = None,
    ) -> None:
        """Build a router over the bench's fleet."""
        super().__init__(rng, engines)
        cfg = RouterSettings('entry', 'zone', entries, rules or ScoringRules())
        self.router = Router(cfg)
        self.router.update_fleet(bench_fleet())
        self._jobs: dict[int, Job] = {}

    def admit(self, job: Job, now: int) -> bool:
        """Ask the router."""
        req = RoutingRequest(
            f'w{job.workspace}',
            PRIORITIES[job.rank],
            ModelTarget('model'),
            (job.arrived + PATIENCE) * STEP_S,
            fingerprint_of_job(job),
            job.chain,
        )
        admission = self.router.admit(req, now * STEP_S, self.rng)
        match admission:
            case Admitted(ticket) | Queued(ticket):
                job.ticket = ticket
                self._jobs[ticket.number] = job
            case _:
                job.refused = True
        return isinstance(admission, Admitted)

    def released(self, now: int) -> list[Job]:
        """Dispatch; late ones are marked as refused."""
        gone = self.router.dispatch(now * STEP_S, self.rng)
        tickets = [late.ticket for late in gone.refused]
        for ticket in tickets:
            self._jobs[ticket.number].refused = True
        tickets += gone.admitted
        return [self._jobs[one.number] for one in tickets]

    def pick(self, job: Job, exclude: frozenset[int], now: int) -> int | None:
        """Choose by the router."""
        names = frozenset(map(str, exclude))
        choice = self.router.choose(job.ticket, names, now * STEP_S, self.rng)
        return int(choice.upstream) if isinstance(choice, Choice) else None

    def start(self, job: Job, now: int) -> None:
        """Tell the router."""
        self.router.record_start(job.ticket, str(job.engine), now * STEP_S)

    def end(self, job: Job, now: int) -> None:
        """Tell the router, with the time to the first token."""
        upstream = str(job.engine)
        if job.first < 0:
            outcome = AttemptOutcome.CANCELLED
            self.router.record_failure(
                job.ticket, upstream, outcome, now * STEP_S
            )
            return
        latency = (job.first - job.started + 1) * STEP_S
        self.router.record_success(job.ticket, upstream, latency, now * STEP_S)

    def fail(self, job: Job, now: int, *, crashed: bool) -> None:
        """Tell the router."""
        outcome = AttemptOutcome.CRASHED if crashed else AttemptOutcome.FAILED
        upstream = str(job.engine)
        self.router.record_failure(job.ticket, upstream, outcome, now * STEP_S)

    def close(self, job: Job, now: int) -> None:
        """Tell the router."""
        self._jobs.pop(job.ticket.number, None)
        self.router.close(job.ticket, now * STEP_S)

    def may_retry(self, now: int) -> bool:
        """Ask the budget."""
        return self.router.ask_retry(now * STEP_S)

    def report(
        self, engines: Sequence[Engine], reports: Sequence[Snapshot], now: int
    ) -> None:
        """Show the router the engines."""
        views = [
            UpstreamView(
                str(engine.number),
                'engine',
                'zone',
                engine.incarnation,
                load=LoadView(
                    reports[engine.number].running,
                    reports[engine.number].queued,
                    0,
                    reports[engine.number].taken * STEP_S,
                ),
                joined_at=-60,
            )
            for engine in engines
        ]
        self.router.update_upstreams(views, now * STEP_S)

    def cache_events(
        self, engine: Engine, events: Sequence[CacheEventView]
    ) -> None:
        """Feed the prefix index."""
        self.router.prefixes.apply(
            str(engine.number), engine.incarnation, events
        )

    def suspect(self, deaths: Counter[str], now: int) -> None:
        """Show the router the suspects; two deaths are the limit."""
        self.router.update_suspects(
            SuspectView(name, count, 1e9 if count >= 2 else 0)
            for name, count in deaths.items()
        )


def fingerprint_of_job(job: Job) -> str:
    """Return the same for each resend of a poison request."""
    return 'poison' if job.poison else str(job.number)
