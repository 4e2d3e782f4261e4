"""Entries, agents, a claim store and callers under a seeded schedule.

Pending calls are kept in one list; each step runs a random one, so that any
message can overtake any other. Messages are lost, late or duplicated,
processes crash, callers disconnect and resend, and clocks differ.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from snipebend.delivery.events import (
    Arrived,
    CallerDisconnected,
    DeadlineReached,
)
from snipebend.delivery.facts import RequestFacts
from snipebend.delivery.guard import GuardLimits
from snipebend.state.claim_state import ClaimState
from tests.delivery.driver import perform
from tests.delivery.engines import break_all
from tests.delivery.pieces import DEFAULT_RATES, Agent, SentRequest, Work

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.delivery.actions import Action
    from snipebend.delivery.events import Event
    from tests.delivery.pieces import FaultRates, Run

MAX_SENT_REQUESTS = 14
ENTRIES = ('e1', 'e2', 'e3')
UPSTREAMS = ('u1', 'u2', 'u3')


class World:
    """One schedule, determined by its seed."""

    def __init__(self, seed: int, rates: FaultRates = DEFAULT_RATES) -> None:
        self.rng = Random(seed)
        self.rates = rates
        self.now: float = 0
        self.steps = 0
        self.store = ClaimState()
        self.sent_requests: list[SentRequest] = []
        self.runs: list[Run] = []
        self.finals: Counter[str] = Counter()
        self.agents = self._make_agents()
        self.known_incarnations = dict.fromkeys(UPSTREAMS, 1)
        self._pending: list[Callable[[], object]] = []
        self._works = [self._make_work(index) for index in range(5)]

    def run_schedule(self, steps: int) -> None:
        """Run a schedule with faults, then let all requests end."""
        for work in self._works:
            self.send(work)
        for _ in range(steps):
            if self.occurs(self.rates.process_faults) or not self._pending:
                self._inject_fault()
            else:
                self._run_pending()
        self.rates = self.rates.without_loss()
        for _ in range(12):
            while self._pending:
                self._run_pending()
            self._pass_time()

    def send(self, work: Work) -> None:
        """Send a piece of work, as a new request, through any entry."""
        facts = RequestFacts(
            request_id=f'r{len(self.sent_requests)}',
            workspace='w',
            key=work.key,
            fingerprint=work.name,
            repeatable=work.repeatable,
            streaming=True,
            resumable=work.resumable,
            deadline_at=self.now + self.rng.uniform(2, 30),
        )
        sent_request = SentRequest(self.rng.choice(ENTRIES), facts, work)
        sent_request.runs_before = len(self.runs)
        self.sent_requests.append(sent_request)
        self.step(sent_request, Arrived(facts))

    def step(self, sent_request: SentRequest, event: Event) -> None:
        """Pass an event to a request's machine and perform its actions."""
        if sent_request.crashed:
            return
        needs_final = isinstance(event, CallerDisconnected | DeadlineReached)
        for action in sent_request.machine.step(event, self.now, self.rng):
            perform(self, sent_request, action)
        if needs_final and not sent_request.finals:
            sent_request.lacks_final = True

    def later(self, call: Callable[..., object], *arguments: object) -> None:
        """Add a pending call."""
        self._pending.append(partial(call, *arguments))

    def occurs(self, share: float) -> bool:
        """Return whether a fault with this rate occurs."""
        return self.rng.random() < share

    def choose_delivery(self) -> str:
        """Return at random how a message is delivered."""
        rates = self.rates
        arrives = 1 - rates.lost - rates.late - rates.doubled
        deliveries = ('lost', 'late', 'doubled', 'arrives')
        weights = (rates.lost, rates.late, rates.doubled, arrives)
        return self.rng.choices(deliveries, weights)[0]

    def count_final(self, final: Action) -> None:
        """Count final actions by their class and outcome."""
        outcome = getattr(final, 'outcome', None)
        name = type(final).__name__
        self.finals[f'{name} {outcome.value}' if outcome else name] += 1

    def _make_agents(self) -> dict[str, Agent]:
        limits = GuardLimits(
            max_running=self.rng.choice((1, 2)),
            max_records=self.rng.choice(self.rates.max_records),
            max_answer_bytes=self.rng.choice((0, 4096)),
            retention_s=self.rng.choice((0, 5, 60)),
        )
        return {
            name: Agent(name, limits, self.rng.uniform(-3, 3))
            for name in UPSTREAMS
        }

    def _make_work(self, index: int) -> Work:
        return Work(
            name=f'work{index}',
            key='' if index == 2 else f'key{index}',
            repeatable=index > 2,
            resumable=self.occurs(0.5),
            chunks=self.rng.randint(1, 4),
        )

    def _run_pending(self) -> None:
        self.steps += 1
        call = self._pending.pop(self.rng.randrange(len(self._pending)))
        call()

    def _inject_fault(self) -> None:
        self.steps += 1
        agent = self.agents[self.rng.choice(UPSTREAMS)]
        match self.rng.randrange(10):
            case 0 | 1:
                self._pass_time()
            case 2 | 3 if len(self.sent_requests) < MAX_SENT_REQUESTS:
                self.send(self.rng.choice(self._works))
            case 4:
                self.step(
                    self.rng.choice(self.sent_requests), CallerDisconnected()
                )
            case 5:
                self._crash_entry()
            case 6:
                break_all(self, agent)
                agent.restart()
            case 7:
                self._crash_engine(agent)
            case 8:
                self._refresh_view()
            case 9 if self.occurs(0.2):
                agent.guard.leave()

    def _pass_time(self) -> None:
        self.now += self.rng.uniform(0, 6)
        for sent_request in self.sent_requests:
            is_due = sent_request.facts.deadline_at <= self.now
            if is_due and not sent_request.timer_fired:
                sent_request.timer_fired = True
                self.later(self.step, sent_request, DeadlineReached())

    def _crash_entry(self) -> None:
        entry = self.rng.choice(ENTRIES)
        for sent_request in self.sent_requests:
            if sent_request.entry == entry and not sent_request.machine.done:
                sent_request.crashed = True
                for conn in sent_request.conns.values():
                    conn.is_open = False

    def _crash_engine(self, agent: Agent) -> None:
        for conn in agent.running:
            agent.guard.fail(conn.sent_request.request_id, conn.attempt)
        break_all(self, agent)

    def _refresh_view(self) -> None:
        for agent in self.agents.values():
            self.known_incarnations[agent.name] = agent.incarnation
