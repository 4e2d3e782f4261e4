"""Entries, agents, a claim store and callers under a seeded schedule.

What is under way waits in one bag; each step takes a random piece out, so
that anything may overtake anything. Messages are lost, late or doubled,
processes crash, callers leave and send again, and clocks differ.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from snipebend.delivery.events import Arrived, CallerGone, DeadlineReached
from snipebend.delivery.facts import RequestFacts
from snipebend.delivery.guard import GuardLimits
from snipebend.state.claim_state import ClaimState
from tests.delivery.driver import perform
from tests.delivery.engines import break_all
from tests.delivery.pieces import DEFAULT_MIX, Agent, Sending, Work

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.delivery.actions import Action
    from snipebend.delivery.events import Event
    from tests.delivery.pieces import Mix, Run

MAX_SENDINGS = 14
ENTRIES = ('e1', 'e2', 'e3')
UPSTREAMS = ('u1', 'u2', 'u3')


class World:
    """One schedule."""

    def __init__(self, seed: int, mix: Mix = DEFAULT_MIX) -> None:
        self.rng = Random(seed)
        self.mix = mix
        self.now: float = 0
        self.steps = 0
        self.store = ClaimState()
        self.sendings: list[Sending] = []
        self.runs: list[Run] = []
        self.finals: Counter[str] = Counter()
        self.agents = self._make_agents()
        self.seen = dict.fromkeys(UPSTREAMS, 1)
        self._bag: list[Callable[[], object]] = []
        self._works = [self._make_work(index) for index in range(5)]

    def play(self, steps: int) -> None:
        """Run a schedule with faults, then let everything end."""
        for work in self._works:
            self.send(work)
        for _ in range(steps):
            if self.happens(self.mix.chaos) or not self._bag:
                self._do_chaos()
            else:
                self._take_out()
        self.mix = self.mix.without_loss()
        for _ in range(12):
            while self._bag:
                self._take_out()
            self._pass_time()

    def send(self, work: Work) -> None:
        """Send a piece of work, as a new request, through any entry."""
        facts = RequestFacts(
            request_id=f'r{len(self.sendings)}',
            workspace='w',
            key=work.key,
            fingerprint=work.name,
            repeatable=work.repeatable,
            streaming=True,
            resumable=work.resumable,
            deadline_at=self.now + self.rng.uniform(2, 30),
        )
        sending = Sending(self.rng.choice(ENTRIES), facts, work)
        sending.runs_before = len(self.runs)
        self.sendings.append(sending)
        self.step(sending, Arrived(facts))

    def step(self, sending: Sending, event: Event) -> None:
        """Give an event to a request's machine and do what it asks for."""
        if sending.crashed:
            return
        is_end = isinstance(event, CallerGone | DeadlineReached)
        for action in sending.machine.step(event, self.now, self.rng):
            perform(self, sending, action)
        if is_end and not sending.finals:
            sending.held_back = True

    def later(self, call: Callable[..., object], *arguments: object) -> None:
        """Put a call into the bag."""
        self._bag.append(partial(call, *arguments))

    def happens(self, share: float) -> bool:
        """Draw whether something goes wrong."""
        return self.rng.random() < share

    def draw_fate(self) -> str:
        """Draw what becomes of a message."""
        mix = self.mix
        rest = 1 - mix.lost - mix.late - mix.doubled
        fates = ('lost', 'late', 'doubled', 'arrives')
        weights = (mix.lost, mix.late, mix.doubled, rest)
        return self.rng.choices(fates, weights)[0]

    def count_final(self, final: Action) -> None:
        """Count the ends of requests by their kind and outcome."""
        outcome = getattr(final, 'outcome', None)
        name = type(final).__name__
        self.finals[f'{name} {outcome.value}' if outcome else name] += 1

    def _make_agents(self) -> dict[str, Agent]:
        limits = GuardLimits(
            max_running=self.rng.choice((1, 2)),
            max_records=self.rng.choice(self.mix.max_records),
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
            resumable=self.happens(0.5),
            chunks=self.rng.randint(1, 4),
        )

    def _take_out(self) -> None:
        self.steps += 1
        call = self._bag.pop(self.rng.randrange(len(self._bag)))
        call()

    def _do_chaos(self) -> None:
        self.steps += 1
        agent = self.agents[self.rng.choice(UPSTREAMS)]
        match self.rng.randrange(10):
            case 0 | 1:
                self._pass_time()
            case 2 | 3 if len(self.sendings) < MAX_SENDINGS:
                self.send(self.rng.choice(self._works))
            case 4:
                self.step(self.rng.choice(self.sendings), CallerGone())
            case 5:
                self._crash_entry()
            case 6:
                break_all(self, agent)
                agent.restart()
            case 7:
                self._crash_engine(agent)
            case 8:
                self._refresh_view()
            case 9 if self.happens(0.2):
                agent.guard.leave()

    def _pass_time(self) -> None:
        self.now += self.rng.uniform(0, 6)
        for sending in self.sendings:
            is_due = sending.facts.deadline_at <= self.now
            if is_due and not sending.timer_fired:
                sending.timer_fired = True
                self.later(self.step, sending, DeadlineReached())

    def _crash_entry(self) -> None:
        entry = self.rng.choice(ENTRIES)
        for sending in self.sendings:
            if sending.entry == entry and not sending.machine.done:
                sending.crashed = True
                for conn in sending.conns.values():
                    conn.is_open = False

    def _crash_engine(self, agent: Agent) -> None:
        for conn in agent.running:
            agent.guard.fail(conn.sending.request_id, conn.attempt)
        break_all(self, agent)

    def _refresh_view(self) -> None:
        for agent in self.agents.values():
            self.seen[agent.name] = agent.incarnation
