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
from typing import TYPE_CHECKING

from snipebend.experts.direct_orders import Arm, Go, Hold, Prepare, Reply
from snipebend.experts.hold_aim import RETRY_S, HoldAim
from snipebend.experts.rank_states import RankStates

if TYPE_CHECKING:
    from snipebend.experts.direct_orders import RankOrder, RankReport
    from snipebend.experts.layer_state import LayerMap
    from snipebend.experts.rank_states import RankState


class Phase(Enum):
    """What a switch waits for."""

    PREPARING = 'preparing'
    HOLDING = 'holding'
    ARMING = 'arming'
    GOING = 'going'
    #: Every rank is armed for the pass that was let go: it will switch as soon
    #: as that pass begins. Waiting for reports that show it took 0.25 s more of
    #: 0.75 s a switch.
    GO_ACCEPTED = 'let-go'
    #: Reports show the map in force, but a later pass is held for it: an older
    #: hold had done its work already. It must be let go, or the group stands
    #: still until somebody sees it, 0.6 s and more.
    RELEASING = 'releasing'
    #: Reports show the map in force everywhere.
    DONE = 'done'
    #: The group formed anew; its maps and holds are gone.
    DEAD = 'dead'
    #: A rank refused to prepare, and nothing was held or armed yet.
    REFUSED = 'refused'


_FINISHED_PHASES = frozenset(
    (Phase.GO_ACCEPTED, Phase.DONE, Phase.DEAD, Phase.REFUSED)
)

#: Seconds before a pass that was let go, but hasn't begun, is let go again: a
#: group without work begins none.
GO_RETRY_S = 1.0


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
    #: Which pass to hold before.
    aim: HoldAim = field(default_factory=HoldAim)
    hold_step: int | None = None
    phase: Phase = Phase.PREPARING
    _go_retry_at: float = -1
    ranks: RankStates = field(init=False)

    def __post_init__(self) -> None:
        """Start without knowledge of any rank."""
        self.ranks = RankStates(self.size)

    @property
    def is_finished(self) -> bool:
        """Tell whether nothing is left to do."""
        return self.phase in _FINISHED_PHASES

    def note_report(self, report: RankReport) -> None:
        """Take over what an engine says."""
        if report.group != self.group or report.rank not in self.ranks:
            return
        if report.epoch != self.epoch or not report.is_open:
            self.phase = Phase.DEAD
            return
        rank = self.ranks[report.rank]
        self.aim.note_report(report.step)
        if report.prepared == self.version:
            rank.prepared_at = 0
        if report.map_version >= self.version:
            rank.prepared_at = 0
            rank.in_force = True
        self._drop_expired_hold(report)
        self._note_held(report)
        self._note_armed(report, rank)
        self._advance()

    def needs_step(self, now: float) -> bool:
        """Tell whether the pass under way must be read before a hold."""
        if self.phase is not Phase.HOLDING or now < self.ranks.ready_at:
            return False
        return self.aim.is_stale(now)

    def note_step(self, epoch: int, step: int, now: float) -> None:
        """Take over the pass that a rank has under way."""
        if epoch != self.epoch:
            self.phase = Phase.DEAD
            return
        self.aim.note_step(step, now)

    def next_orders(self, now: float) -> list[RankOrder]:
        """Return what is to be sent now."""
        match self.phase:
            case Phase.PREPARING:
                return [
                    Prepare(rank, self.epoch, self.version, self.layers)
                    for rank in self.ranks.next_to_prepare(now)
                ]
            case Phase.HOLDING:
                return self._hold(now)
            case Phase.ARMING:
                return self._arm(now)
            case Phase.GOING | Phase.RELEASING:
                return self._go(now)
            case _:
                return []

    def note_reply(self, order: RankOrder, reply: Reply, now: float) -> None:
        """Take over what became of an order."""
        rank = self.ranks[order.rank]
        match order, reply:
            case Prepare(), Reply.ACCEPTED:
                self.ranks.note_prepare_accepted(
                    order.rank, now, now + self.fetch_s
                )
            case Prepare(), Reply.REFUSED:
                rank.refusals += 1
            case Hold(), Reply.ACCEPTED:
                self.hold_step = self.hold_step or order.step
            case Hold(), Reply.REFUSED:
                self.aim.note_refusal()
            case Go(), Reply.ACCEPTED | Reply.REFUSED if (
                self.phase is Phase.RELEASING
            ):
                self.hold_step = None
            case Go(), Reply.ACCEPTED:
                self._go_retry_at = now + GO_RETRY_S
                if order.step == self.hold_step and not self.ranks.unarmed:
                    self.phase = Phase.GO_ACCEPTED
            case Arm(), Reply.REFUSED:
                rank.arm_refusals += 1
            case Arm(), Reply.ACCEPTED if order.step == self.hold_step:
                rank.armed = True
            case _:
                pass
        self._advance()

    def _note_held(self, report: RankReport) -> None:
        """Adopt a hold: our own, whose answer was lost, or another's."""
        if report.held is None or report.held <= self.aim.step:
            return
        if self.hold_step is None and report.rank == 0:
            self.hold_step = report.held

    def _note_armed(self, report: RankReport, rank: RankState) -> None:
        """Take over what an earlier coordinator has armed for a later pass."""
        armed = report.armed
        if armed is None or armed.version != self.version:
            return
        if self.hold_step is None and armed.step > self.aim.step:
            self.hold_step = armed.step
        rank.armed = armed.step == self.hold_step

    def _drop_expired_hold(self, report: RankReport) -> None:
        """Begin anew when the pass has begun without the switch.

        Another coordinator let it go for an earlier version. Orders for that
        pass are refused from now on.
        """
        if self.hold_step is None or report.step < self.hold_step:
            return
        if report.map_version < self.version:
            self.hold_step = None
            self.ranks.disarm()

    def _advance(self) -> None:
        if self.is_finished:
            return
        ranks = self.ranks
        if self.hold_step is None and ranks.any_refuses:
            # Nothing was held yet: the plan can be given up without harm.
            self.phase = Phase.REFUSED
            return
        if ranks.all_in_force:
            waits = (self.hold_step or 0) > self.aim.step
            self.phase = Phase.RELEASING if waits else Phase.DONE
        elif ranks.unprepared:
            self.phase = Phase.PREPARING
        elif self.hold_step is None:
            self.phase = Phase.HOLDING
        elif not ranks.unarmed:
            self.phase = Phase.GOING
        else:
            self.phase = Phase.ARMING

    def _hold(self, now: float) -> list[RankOrder]:
        if now < self.ranks.ready_at:
            # Held earlier, the group would often wait for a slow fetch: 0.7 s
            # in 34 s of steady load in place of 0.0 s, and streams pause then.
            return []
        if not self.aim.is_due(now):
            return []
        step = self.aim.take(now, self.ranks.lost_reply_delay_s)
        return [Hold(0, self.epoch, step)]

    def _arm(self, now: float) -> list[RankOrder]:
        if self.hold_step is None:
            return []
        return [
            Arm(rank, self.epoch, self.version, self.hold_step)
            for rank in self.ranks.next_to_arm(now)
        ]

    def _go(self, now: float) -> list[RankOrder]:
        if now < self._go_retry_at or self.hold_step is None:
            return []
        self._go_retry_at = now + RETRY_S
        return [Go(0, self.epoch, self.hold_step)]


def ranks_to_poll(switch: DirectSwitch) -> list[int]:
    """Return the ranks whose reports may tell something new.

    Rank 0 tells of the hold and the epoch. In a group of 192 ranks that all
    answered, a switch reads 2 reports in place of 192 each 0.2 s.
    """
    match switch.phase:
        case Phase.PREPARING:
            unsure = switch.ranks.unprepared
        case Phase.ARMING:
            unsure = switch.ranks.unarmed
        case _:
            unsure = []
    return sorted({0, *unsure})
