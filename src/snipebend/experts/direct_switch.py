"""State machine that switches one group to a decided map by direct orders.

Engines execute any order that fits their state, whoever sent it. They leave
some orders unanswered and execute those seconds later. The safety invariant is
that no pass starts while two ranks have different maps. It holds at all times
and with any number of coordinators because of these rules:

- ``Hold`` stops the group before one pass; only ``Go`` lets it continue.
- ``Arm`` is sent only while a rank is known to hold before exactly that pass;
  a rank that has not fetched its experts yet refuses it, and ``Arm`` is sent
  again.
- ``Go`` is sent only when every rank is known to be armed for that pass.
  Nothing disarms a rank, so this knowledge cannot become outdated.
- The pass that a rank is armed for is never changed, whatever is on hold: an
  ``Arm`` for the previous pass could be executed late and would arm one rank
  for a pass of its own.
- Once every rank is armed, a hold before their pass or an earlier one can be
  released, because all ranks run with the previous map until then.
- One coordinator sends orders at a time, under a lease. Its successor first
  waits until reports show the effect of the earlier orders, and then continues
  with the existing hold.
- Engines refuse a late order whose pass has started or whose version has been
  superseded. An idle group starts no pass: then a late ``Arm`` changes nothing,
  and a late ``Hold`` stops the group again until a switch is resumed for it.

A switch that has put its group on hold is therefore never cancelled: this
coordinator or a later one completes it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from snipebend.experts.direct_orders import Arm, Go, Hold, Prepare, Reply
from snipebend.experts.hold_planner import RETRY_S, HoldPlanner
from snipebend.experts.rank_states import RankStates

if TYPE_CHECKING:
    from snipebend.experts.direct_orders import RankOrder, RankReport
    from snipebend.experts.layer_state import LayerMap
    from snipebend.experts.rank_states import RankProgress


class Phase(Enum):
    """The condition that a switch waits for, or its final state."""

    PREPARING = 'preparing'
    HOLDING = 'holding'
    ARMING = 'arming'
    GOING = 'going'
    #: Every rank is armed and ``Go`` was accepted: the group switches as soon
    #: as the held pass starts. Waiting for reports that confirm it took a
    #: further 0.25 s, for a total of 0.75 s per switch.
    GO_ACCEPTED = 'let-go'
    #: Reports show the map in force, but a later pass is still on hold: the
    #: ranks had already switched at an older hold. Without ``Go`` the group is
    #: stopped until a coordinator notices it, 0.6 s or longer.
    RELEASING = 'releasing'
    #: Reports show the map in force everywhere.
    DONE = 'done'
    #: The group was re-formed; its maps and holds are lost.
    DEAD = 'dead'
    #: A rank refused to prepare before any rank was armed.
    REFUSED = 'refused'


_FINISHED_PHASES = frozenset(
    (Phase.GO_ACCEPTED, Phase.DONE, Phase.DEAD, Phase.REFUSED)
)

#: Seconds until ``Go`` is sent again for a pass that has not started. A group
#: without work starts no pass.
GO_RETRY_S = 1.0


@dataclass(slots=True)
class DirectSwitch:
    """One coordinator's state of one switch."""

    group: str
    epoch: int
    version: int
    layers: tuple[LayerMap, ...]
    size: int
    #: Time in seconds that the slowest rank needs to fetch its experts.
    fetch_s: float = 0
    #: Selects the pass to hold.
    aim: HoldPlanner = field(default_factory=HoldPlanner)
    hold_step: int | None = None
    phase: Phase = Phase.PREPARING
    _go_retry_at: float = -1
    #: The pass that rank 0 last reported to be on hold.
    _reported_hold: int | None = None
    ranks: RankStates = field(init=False)

    def __post_init__(self) -> None:
        """Create the state of each rank."""
        self.ranks = RankStates(self.size)

    @property
    def is_finished(self) -> bool:
        """Return whether no orders remain to be sent."""
        return self.phase in _FINISHED_PHASES

    def note_report(self, report: RankReport) -> None:
        """Update the state from an engine's report."""
        if report.group != self.group or report.rank not in self.ranks:
            return
        if report.epoch != self.epoch or not report.is_open:
            self.phase = Phase.DEAD
            return
        rank = self.ranks[report.rank]
        self.aim.note_report(report.step)
        if report.prepared == self.version:
            rank.expected_ready_at = 0
        if report.map_version >= self.version:
            rank.expected_ready_at = 0
            rank.in_force = True
        self._drop_expired_hold(report)
        self._note_armed(report, rank)
        self._note_held(report)
        self._advance()

    def needs_step_reading(self, now: float) -> bool:
        """Return whether the current pass must be read before a hold."""
        if self.phase is not Phase.HOLDING or now < self.ranks.ready_at:
            return False
        return self.aim.is_stale(now)

    def note_step(self, epoch: int, step: int, now: float) -> None:
        """Record the pass that a rank is currently running."""
        if epoch != self.epoch:
            self.phase = Phase.DEAD
            return
        self.aim.note_step(step, now)

    def next_orders(self, now: float) -> list[RankOrder]:
        """Return the orders that are due now."""
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
        """Update the state from the reply to an order."""
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
            case Go(), Reply.ACCEPTED | Reply.REFUSED if (
                self.phase is Phase.GOING
            ):
                # A refusal means that the rank holds before another pass, so
                # this one was released; reports will show what is on hold.
                self.phase = Phase.GO_ACCEPTED
            case Go(), Reply.ACCEPTED:
                self._go_retry_at = now + GO_RETRY_S
            case Arm(), Reply.REFUSED:
                rank.arm_refusals += 1
            case Arm(), Reply.ACCEPTED if order.step == self.hold_step:
                rank.armed = True
            case _:
                pass
        self._advance()

    def _note_held(self, report: RankReport) -> None:
        """Adopt a hold of this coordinator, its reply lost, or of another."""
        if report.rank != 0:
            return
        self._reported_hold = report.held
        if report.held is None or report.held <= self.aim.step:
            return
        if self.hold_step is None:
            self.hold_step = report.held

    def _note_armed(self, report: RankReport, rank: RankProgress) -> None:
        """Record ranks that an earlier coordinator armed for a later pass."""
        armed = report.armed
        if armed is None or armed.version != self.version:
            return
        rank.expected_ready_at = 0
        if self.hold_step is None and armed.step > self.aim.step:
            self.hold_step = armed.step
        rank.armed = armed.step == self.hold_step

    def _drop_expired_hold(self, report: RankReport) -> None:
        """Reset the hold if its pass has started without the switch.

        Another coordinator sent ``Go`` for an earlier version. Engines refuse
        all further orders for that pass.
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
        if ranks.any_refused and not ranks.any_armed:
            # No rank can activate the map, so the plan can safely be abandoned.
            # A hold that was found is ended by the next plan.
            self.phase = Phase.REFUSED
            return
        if ranks.all_in_force:
            is_held = (self.hold_step or 0) > self.aim.step
            self.phase = Phase.RELEASING if is_held else Phase.DONE
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
            # An earlier hold often makes the group wait for a slow fetch: 0.7 s
            # instead of 0.0 s in 34 s of steady load, and streams stall.
            return []
        if not self.aim.is_due(now):
            return []
        step = self.aim.choose_step(now, self.ranks.lost_reply_delay_s)
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
        step = self.hold_step
        if self.aim.step < (self._reported_hold or 0) < step:
            # A hold before an earlier pass, from an order executed late.
            step = self._reported_hold or step
        return [Go(0, self.epoch, step)]


def ranks_to_poll(switch: DirectSwitch) -> list[int]:
    """Return the ranks whose reports can contain new information.

    Rank 0 reports the hold and the epoch. If all 192 ranks of a group have
    responded, a switch reads 2 reports instead of 192 every 0.2 s.
    """
    match switch.phase:
        case Phase.PREPARING:
            ranks = switch.ranks.unprepared
        case Phase.ARMING:
            ranks = switch.ranks.unarmed
        case _:
            ranks = []
    return sorted({0, *ranks})
