"""The parts of a schedule: work, requests, connections and agents."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.delivery.guard import AttemptGuard
from snipebend.delivery.limits import DeliveryLimits
from snipebend.delivery.request_machine import RequestMachine

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action
    from snipebend.delivery.attempt_events import AttemptEvent
    from snipebend.delivery.facts import RequestFacts
    from snipebend.delivery.guard import GuardLimits


class FaultRates(NamedTuple):
    """Fault rates, as shares of messages or of steps.

    The record limit of an agent is picked from ``max_records``.
    """

    lost: float = 0.08
    late: float = 0.06
    doubled: float = 0.12
    unsent: float = 0.04
    broken: float = 0.05
    process_faults: float = 0.15
    no_upstream: float = 0.1
    seals_answered: bool = True
    max_records: tuple[int, ...] = (4, 8, 128)

    def without_loss(self) -> FaultRates:
        """Return the rates without message loss, for the end of a schedule."""
        return self._replace(lost=0, late=0, doubled=0, unsent=0, broken=0)


DEFAULT_RATES = FaultRates()


class Work(NamedTuple):
    """One piece of work of a caller; ``key`` is empty if it has none."""

    name: str
    key: str
    repeatable: bool
    resumable: bool
    chunks: int


class Run(NamedTuple):
    """One execution at an engine, and its complete response."""

    request_id: str
    work: Work
    payloads: tuple[bytes, ...]


class SentRequest:
    """One request at an entry: its machine and what its caller received."""

    def __init__(self, entry: str, facts: RequestFacts, work: Work) -> None:
        self.entry = entry
        self.facts = facts
        self.work = work
        self.machine = RequestMachine(DeliveryLimits(entry))
        self.runs_before = 0
        self.crashed = False
        self.timer_fired = False
        self.lacks_final = False
        self.received: list[bytes] = []
        self.finals: list[Action] = []
        self.conns: dict[int, Conn] = {}

    @property
    def request_id(self) -> str:
        return self.facts.request_id


class Conn:
    """One attempt's connection, which delivers events in order."""

    def __init__(
        self,
        sent_request: SentRequest,
        attempt: int,
        *,
        is_open: bool = True,
    ) -> None:
        self.sent_request = sent_request
        self.attempt = attempt
        self.is_open = is_open
        self.queue: list[AttemptEvent] = []


class Agent:
    """An agent with its engine; its clock is off by ``skew`` seconds."""

    def __init__(self, name: str, limits: GuardLimits, skew: float) -> None:
        self.name = name
        self.limits = limits
        self.skew = skew
        self.incarnation = 0
        self.running: list[Conn] = []
        self.restart()

    def restart(self) -> None:
        self.incarnation += 1
        self.guard = AttemptGuard(self.incarnation, self.limits)
