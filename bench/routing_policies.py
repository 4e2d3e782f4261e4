"""Routing policies that the benches compare, behind a common interface."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from bench.queueing import (
    BATCH_SIZE,
    CALLER_TIMEOUT_STEPS,
    STEP_S,
    WORKSPACES,
    Engine,
    Job,
)
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


def bench_fleet(
    workspaces: int = WORKSPACES, limit: int = BATCH_SIZE
) -> FleetIndex:
    """Return a fleet with one model and workspaces with very high limits."""
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
    """Base of the policies; admits every job and lets subclasses choose."""

    def __init__(self, rng: Random, engines: int) -> None:
        """Create a policy; all engines are alive and have no requests."""
        self.rng = rng
        self.alive = list(range(engines))
        self.outstanding: Counter[int] = Counter()
        self.reports: Sequence[Snapshot] = ()

    def admit(self, job: Job, now: int) -> bool:
        """Return whether the job may start; a refused job is marked."""
        return True

    def release_queued(self, now: int) -> list[Job]:
        """Return queued jobs that may start now or have been refused."""
        return []

    def pick(self, job: Job, exclude: frozenset[int], now: int) -> int | None:
        """Return the engine for an attempt, ``None`` if there is none."""
        candidates = [one for one in self.alive if one not in exclude]
        return self.choose(job, candidates) if candidates else None

    def choose(self, job: Job, candidates: list[int]) -> int:
        """Return one of the candidate engines."""
        raise NotImplementedError

    def start(self, job: Job, now: int) -> None:
        """Count a started attempt."""
        self.outstanding[job.engine] += 1

    def finish(self, job: Job, now: int) -> None:
        """Count an attempt that was served or cancelled by its caller."""
        self.outstanding[job.engine] -= 1

    def fail(self, job: Job, now: int, *, crashed: bool) -> None:
        """Count a failed attempt."""
        self.outstanding[job.engine] -= 1

    def close(self, job: Job, now: int) -> None:
        """Remove a finished job."""

    def can_retry(self, now: int) -> bool:
        """Return whether a retry is allowed."""
        return True

    def update_reports(
        self, engines: Sequence[Engine], reports: Sequence[Snapshot], now: int
    ) -> None:
        """Store the delayed load reports of the engines in the directory."""
        self.alive = [engine.number for engine in engines]
        self.reports = reports

    def update_suspects(self, deaths: Counter[str], now: int) -> None:
        """Apply the shared list of suspects."""

    def apply_cache_events(
        self, engine: Engine, events: Sequence[CacheEventView]
    ) -> None:
        """Apply delayed cache events of an engine."""


class RoundRobin(Policy):
    """Chooses the engines in turn."""

    turn = 0

    def choose(self, job: Job, candidates: list[int]) -> int:
        """Return the next engine."""
        self.turn += 1
        return candidates[self.turn % len(candidates)]


class LeastOutstanding(Policy):
    """Chooses the engine with the fewest outstanding requests of the entry."""

    def choose(self, job: Job, candidates: list[int]) -> int:
        """Return the engine with the fewest outstanding requests."""
        return min(
            candidates,
            key=lambda one: (self.outstanding[one], self.rng.random()),
        )


class LeastReported(Policy):
    """Chooses the lowest load in the delayed reports.

    The entry's own outstanding requests are not added.
    """

    def choose(self, job: Job, candidates: list[int]) -> int:
        """Return the engine with the lowest reported load."""
        return min(
            candidates,
            key=lambda one: (
                sum(self.reports[one][:2]) if self.reports else 0,
                self.rng.random(),
            ),
        )


class RandomOfTwo(Policy):
    """Chooses the engine with fewer outstanding requests of a sample of two."""

    def choose(self, job: Job, candidates: list[int]) -> int:
        """Return the less loaded of two random engines."""
        sampled = self.rng.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda one: self.outstanding[one])


class Affinity(Policy):
    """Chooses the last engine with the longest prefix, whatever its load."""

    def __init__(self, rng: Random, engines: int) -> None:
        """Create a policy that knows no prefix of any engine."""
        super().__init__(rng, engines)
        self._holders: dict[int, int] = {}

    def choose(self, job: Job, candidates: list[int]) -> int:
        """Return the engine with the longest prefix, or the least loaded."""
        chosen = None
        for block in reversed(job.chain):
            if self._holders.get(block) in candidates:
                chosen = self._holders[block]
                break
        if chosen is None:
            chosen = min(candidates, key=lambda one: self.outstanding[one])
        self._holders.update(dict.fromkeys(job.chain, chosen))
        return chosen


class RouterPolicy(Policy):
    """The router under test."""

    def __init__(
        self,
        rng: Random,
        engines: int,
        *,
        entries: int = 1,
        rules: ScoringRules | None = None,
    ) -> None:
        """Create a router with the bench's fleet."""
        super().__init__(rng, engines)
        cfg = RouterSettings('entry', 'zone', entries, rules or ScoringRules())
        self.router = Router(cfg)
        self.router.update_fleet(bench_fleet())
        self._jobs: dict[int, Job] = {}

    def admit(self, job: Job, now: int) -> bool:
        """Request admission by the router."""
        req = RoutingRequest(
            f'w{job.workspace}',
            PRIORITIES[job.priority],
            ModelTarget('model'),
            (job.arrived_at + CALLER_TIMEOUT_STEPS) * STEP_S,
            job_fingerprint(job),
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

    def release_queued(self, now: int) -> list[Job]:
        """Dispatch the router's queue; expired jobs are marked as refused."""
        dispatched = self.router.dispatch(now * STEP_S, self.rng)
        tickets = [late.ticket for late in dispatched.refused]
        for ticket in tickets:
            self._jobs[ticket.number].refused = True
        tickets += dispatched.admitted
        return [self._jobs[one.number] for one in tickets]

    def pick(self, job: Job, exclude: frozenset[int], now: int) -> int | None:
        """Return the router's choice."""
        names = frozenset(map(str, exclude))
        choice = self.router.choose(job.ticket, names, now * STEP_S, self.rng)
        return int(choice.upstream) if isinstance(choice, Choice) else None

    def start(self, job: Job, now: int) -> None:
        """Report a started attempt to the router."""
        self.router.record_start(job.ticket, str(job.engine), now * STEP_S)

    def finish(self, job: Job, now: int) -> None:
        """Report a finished attempt with its time to the first token."""
        upstream = str(job.engine)
        if job.first_token_at < 0:
            outcome = AttemptOutcome.CANCELLED
            self.router.record_failure(
                job.ticket, upstream, outcome, now * STEP_S
            )
            return
        latency = (job.first_token_at - job.started_at + 1) * STEP_S
        self.router.record_success(job.ticket, upstream, latency, now * STEP_S)

    def fail(self, job: Job, now: int, *, crashed: bool) -> None:
        """Report a failed attempt to the router."""
        outcome = AttemptOutcome.CRASHED if crashed else AttemptOutcome.FAILED
        upstream = str(job.engine)
        self.router.record_failure(job.ticket, upstream, outcome, now * STEP_S)

    def close(self, job: Job, now: int) -> None:
        """Close the job's ticket in the router."""
        self._jobs.pop(job.ticket.number, None)
        self.router.close(job.ticket, now * STEP_S)

    def can_retry(self, now: int) -> bool:
        """Return whether the router's retry budget allows a retry."""
        return self.router.request_retry(now * STEP_S)

    def update_reports(
        self, engines: Sequence[Engine], reports: Sequence[Snapshot], now: int
    ) -> None:
        """Update the router's views of the engines."""
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
                    reports[engine.number].taken_at * STEP_S,
                ),
                joined_at=-60,
            )
            for engine in engines
        ]
        self.router.update_upstreams(views, now * STEP_S)

    def apply_cache_events(
        self, engine: Engine, events: Sequence[CacheEventView]
    ) -> None:
        """Apply the events to the router's prefix index."""
        self.router.prefixes.apply(
            str(engine.number), engine.incarnation, events
        )

    def update_suspects(self, deaths: Counter[str], now: int) -> None:
        """Update the router's suspects; two deaths quarantine a request."""
        self.router.update_suspects(
            SuspectView(name, count, 1e9 if count >= 2 else 0)
            for name, count in deaths.items()
        )


def job_fingerprint(job: Job) -> str:
    """Return the job's fingerprint, the same for all poison requests."""
    return 'poison' if job.poison else str(job.number)
