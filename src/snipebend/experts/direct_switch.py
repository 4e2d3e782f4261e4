"""One group's switch to a decided map, by orders straight to its engines.

The engines obey any order that fits their state, whoever sent it, answer some
orders not at all and carry those out seconds later. No pass may begin while
two ranks have different maps. What keeps that, at every moment and with any
number of coordinators:

- ``Hold`` stops the group before one pass, and only ``Go`` lets it on.
- ``Arm`` is sent only while a rank is known to hold before just that pass; a
  rank that hasn't fetched its experts yet refuses it, and is asked again.
- ``Go`` is sent only when every rank is known to be armed for that pass.
  Nothing disarms a rank, so that this knowledge doesn't age.
- One coordinator gives orders at a time, under a lease. The next one first
  waits until reports show what the last one did, and goes on with its hold.
- An order that is carried out late names a pass that has begun or a version
  that has been overtaken, and engines refuse both.

So a switch that has held is never given up, only finished, by this
coordinator or the next one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.experts.layer_state import LayerMap


class Armed(NamedTuple):
    """A rank will switch to a version as a pass begins."""

    version: int
    step: int


class RankReport(NamedTuple):
    """What one engine says of itself; some hundred milliseconds old."""

    identity: str
    group: str
    epoch: int
    rank: int
    #: Ranks of the group.
    size: int
    #: Whether the group works.
    is_open: bool
    #: The last pass that was begun.
    step: int
    map_version: int
    prepared: int | None = None
    armed: Armed | None = None
    held: int | None = None
    #: How many times as long its work takes as usual.
    pace: float = 1


class Prepare(NamedTuple):
    """Fetch the experts that a map newly brings to the rank."""

    rank: int
    epoch: int
    version: int
    layers: tuple[LayerMap, ...]


class Arm(NamedTuple):
    """Switch to a prepared map as a pass begins."""

    rank: int
    epoch: int
    version: int
    step: int


class Hold(NamedTuple):
    """Don't begin a pass before ``Go``."""

    rank: int
    epoch: int
    step: int


class Go(NamedTuple):
    """Begin a pass that was held."""

    rank: int
    epoch: int
    step: int


RankOrder = Prepare | Arm | Hold | Go


class Reply(Enum):
    """What an engine answered to an order."""

    ACCEPTED = 'accepted'
    #: It doesn't fit the engine's state, and won't be carried out.
    REFUSED = 'refused'
    #: Not answered: it may be carried out now, later or never.
    LOST = 'lost'


class Phase(Enum):
    """What a switch waits for."""

    PREPARING = 'preparing'
    HOLDING = 'holding'
    ARMING = 'arming'
    GOING = 'going'
    DONE = 'done'
    #: The group formed anew; its maps and holds are gone.
    DEAD = 'dead'
    #: A rank refused to prepare, and nothing was held or armed yet.
    REFUSED = 'refused'


#: Seconds before an order without an answer is sent again, on top of the time
#: for which its answer was awaited.
RETRY_S = 0.02

#: Seconds before a pass that was let go, but hasn't begun, is let go again: a
#: group without work begins none.
GO_AGAIN_S = 1.0

#: Seconds before a rank that refused to be armed is asked again: the group may
#: stand still meanwhile.
ARM_AGAIN_S = 0.015

#: Passes between the one that should be under way and the one to hold before.
#: A pass takes 50 ms and more, an order a few; one that comes too late is
#: refused, and a later pass is named at once.
AHEAD = 2

#: Further passes for each round in which some order got no answer: arming will
#: take as many rounds, and the group stands still if it reaches the held pass
#: before all ranks are armed.
PER_ROUND = 2

#: Refusals of one rank to prepare after which the plan is given up.
MAX_REFUSALS = 3


@dataclass(slots=True)
class _Rank:
    """What is known of one rank."""

    sent_at: float = -1
    #: When it should have fetched its experts; none: it wasn't told to.
    prepared_at: float | None = None
    armed: bool = False
    in_force: bool = False
    refusals: int = 0
    prepares: int = 0


@dataclass(slots=True)
class DirectSwitch:
    """One coordinator's knowledge of one switch."""

    group: str
    epoch: int
    version: int
    layers: tuple[LayerMap, ...]
    size: int
    #: Seconds that the slowest rank needs to fetch its experts.
    fetch_s: float = 0
    #: The last pass known, and when it was.
    step: int = 0
    step_at: float = 0
    #: Seconds of a pass, as far as known.
    pass_s: float = 0.1
    hold_step: int | None = None
    phase: Phase = Phase.PREPARING
    _hold_tries: int = 0
    _hold_refused: bool = False
    _hold_sent_at: float = -1
    _go_again_at: float = -1
    _ranks: dict[int, _Rank] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start without knowledge of any rank."""
        self._ranks = {rank: _Rank() for rank in range(self.size)}

    @property
    def over(self) -> bool:
        """Tell whether nothing is left to do."""
        return self.phase in {Phase.DONE, Phase.DEAD, Phase.REFUSED}

    @property
    def ready_at(self) -> float:
        """Return when every rank should have fetched its experts."""
        return max(rank.prepared_at or 0 for rank in self._ranks.values())

    def note_report(self, report: RankReport) -> None:
        """Take over what an engine says."""
        if report.group != self.group or report.rank not in self._ranks:
            return
        if report.epoch != self.epoch or not report.is_open:
            self.phase = Phase.DEAD
            return
        rank = self._ranks[report.rank]
        self.step = max(self.step, report.step)
        if report.prepared == self.version:
            rank.prepared_at = 0
        if report.map_version >= self.version:
            rank.prepared_at = 0
            rank.in_force = True
        self._drop_passed_hold(report)
        self._note_held(report)
        self._note_armed(report, rank)
        self._advance()

    def next_orders(self, now: float) -> list[RankOrder]:
        """Return what is to be sent now."""
        match self.phase:
            case Phase.PREPARING:
                return self._prepare(now)
            case Phase.HOLDING:
                return self._hold(now)
            case Phase.ARMING:
                return self._arm(now)
            case Phase.GOING:
                return self._go(now)
            case _:
                return []

    def note_reply(self, order: RankOrder, reply: Reply, now: float) -> None:
        """Take over what became of an order."""
        rank = self._ranks[order.rank]
        match order, reply:
            case Prepare(), Reply.ACCEPTED:
                rank.prepared_at = now + self.fetch_s
            case Prepare(), Reply.REFUSED:
                rank.refusals += 1
            case Hold(), Reply.ACCEPTED:
                self.hold_step = self.hold_step or order.step
            case Hold(), Reply.REFUSED:
                self._hold_refused = True
                self._hold_tries += 1
            case Go(), Reply.ACCEPTED:
                self._go_again_at = now + GO_AGAIN_S
            case Arm(), Reply.ACCEPTED if order.step == self.hold_step:
                rank.armed = True
            case _:
                pass
        self._advance()

    def _note_held(self, report: RankReport) -> None:
        """Adopt a hold: our own, whose answer was lost, or another's."""
        if report.held is None or report.held <= self.step:
            return
        if self.hold_step is None and report.rank == 0:
            self.hold_step = report.held

    def _note_armed(self, report: RankReport, rank: _Rank) -> None:
        """Take over what an earlier coordinator has armed for a later pass."""
        armed = report.armed
        if armed is None or armed.version != self.version:
            return
        if self.hold_step is None and armed.step > self.step:
            self.hold_step = armed.step
        rank.armed = armed.step == self.hold_step

    def _drop_passed_hold(self, report: RankReport) -> None:
        """Begin anew when the pass has begun without the switch.

        Another coordinator let it go for an earlier version. Orders for that
        pass are refused from now on.
        """
        if self.hold_step is None or report.step < self.hold_step:
            return
        if report.map_version < self.version:
            self.hold_step = None
            for rank in self._ranks.values():
                rank.armed = False

    def _advance(self) -> None:
        if self.over:
            return
        ranks = self._ranks.values()
        if self.hold_step is None and any(map(_is_refused, ranks)):
            # Nothing was held yet: the plan can be given up without harm.
            self.phase = Phase.REFUSED
            return
        if all(rank.in_force for rank in ranks):
            self.phase = Phase.DONE
        elif any(rank.prepared_at is None for rank in ranks):
            self.phase = Phase.PREPARING
        elif self.hold_step is None:
            self.phase = Phase.HOLDING
        elif all(rank.armed for rank in ranks):
            self.phase = Phase.GOING
        else:
            self.phase = Phase.ARMING

    def _prepare(self, now: float) -> list[RankOrder]:
        orders: list[RankOrder] = []
        for number, rank in self._ranks.items():
            if rank.prepared_at is not None:
                continue
            if now >= rank.sent_at + RETRY_S:
                rank.sent_at = now
                rank.prepares += 1
                orders.append(
                    Prepare(number, self.epoch, self.version, self.layers)
                )
        return orders

    def _hold(self, now: float) -> list[RankOrder]:
        if now < self.ready_at:
            # Held earlier, the group would often wait for a slow fetch: 0.7 s
            # in 34 s of steady load in place of 0.0 s, and streams pause then.
            return []
        if now < self._hold_sent_at + RETRY_S and not self._hold_refused:
            return []
        self._hold_sent_at = now
        self._hold_refused = False
        rounds = max(rank.prepares for rank in self._ranks.values())
        ahead = AHEAD + self._hold_tries + PER_ROUND * max(0, rounds - 1)
        passed = int((now - self.step_at) / self.pass_s) if self.step_at else 0
        return [Hold(0, self.epoch, self.step + passed + ahead)]

    def _arm(self, now: float) -> list[RankOrder]:
        orders: list[RankOrder] = []
        for number, rank in self._ranks.items():
            if rank.armed or now < rank.sent_at + ARM_AGAIN_S:
                continue
            if self.hold_step is not None:
                rank.sent_at = now
                orders.append(
                    Arm(number, self.epoch, self.version, self.hold_step)
                )
        return orders

    def _go(self, now: float) -> list[RankOrder]:
        if now < self._go_again_at or self.hold_step is None:
            return []
        self._go_again_at = now + RETRY_S
        return [Go(0, self.epoch, self.hold_step)]


def _is_refused(rank: _Rank) -> bool:
    return rank.prepared_at is None and rank.refusals >= MAX_REFUSALS
