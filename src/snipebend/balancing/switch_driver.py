"""Runs one map switch of a group: sends orders and processes replies."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.experts.direct_orders import Reply
from snipebend.experts.direct_switch import DirectSwitch, ranks_to_poll
from snipebend.experts.hold_planner import HoldPlanner

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from snipebend.experts.direct_orders import RankOrder
    from snipebend.experts.direct_switch import Phase
    from snipebend.experts.group_monitor import PassTiming
    from snipebend.kernel.clock import Clock
    from snipebend.state.group_plans import GroupPlan
    from snipebend.balancing.meters import BalancerMeters
    from snipebend.balancing.group_observer import EngineLink, GroupSnapshot

#: Seconds between two rounds of orders.
STEP_INTERVAL_S = 0.02

#: Seconds between two rounds of reports during a switch.
REPORT_INTERVAL_S = 0.2

#: Seconds by which orders without replies can delay reports. The ranks of a
#: group on hold wait while reports are read.
MAX_REPORT_DELAY_S = 1.0


class SwitchDriver:
    """Runs one switch while this daemon leads."""

    def __init__(
        self,
        link: EngineLink,
        clock: Clock,
        plan: GroupPlan,
        snapshot: GroupSnapshot,
        meters: BalancerMeters,
        *,
        fetch_s: float = 0,
        pass_timing: PassTiming | None = None,
    ) -> None:
        """Prepare a switch from the state in a snapshot of the group.

        ``pass_timing`` is derived if missing.
        """
        self._link = link
        self._clock = clock
        self._snapshot = snapshot
        self._meters = meters
        self._fetch_s = fetch_s
        self._reports_due_at: float = 0
        self._switch = DirectSwitch(
            plan.group,
            plan.epoch,
            plan.version,
            plan.layers,
            snapshot.any_report.size,
            fetch_s,
        )
        if pass_timing is not None and pass_timing.pass_s is not None:
            self._switch.aim = HoldPlanner(
                pass_timing.step, pass_timing.at, pass_timing.pass_s
            )
        for _, report in sorted(snapshot.reports.items()):
            self._switch.note_report(report)

    @property
    def hold_step(self) -> int | None:
        """Return the pass before which the group was held."""
        return self._switch.hold_step

    async def run(self, can_order: Callable[[], bool]) -> Phase:
        """Run until finished, or until this daemon may not send orders."""
        self._can_order = can_order
        switch = self._switch
        began_at = self._clock.now()
        self._reports_due_at = began_at + self._fetch_s
        while not switch.is_finished and can_order():
            await self._send_orders()
            await asyncio.sleep(STEP_INTERVAL_S)
            if self._clock.now() >= self._reports_due_at:
                await self._read_reports()
                self._reports_due_at = self._clock.now() + REPORT_INTERVAL_S
        took_s = self._clock.now() - began_at
        self._meters.switch_ended(switch.group, switch.phase.value, took_s)
        logger.info(
            'event=map_switch group={} version={} phase={} took_ms={:.0f} '
            + 'held_at_step={}',
            switch.group,
            switch.version,
            switch.phase.value,
            1000 * took_s,
            switch.hold_step,
        )
        return switch.phase

    async def _send_orders(self) -> None:
        """Send due orders until the switch has to wait.

        An order without a reply can be due again at once, for as long as its
        rank does not respond. Only reports then show that the rank has changed.
        """
        while True:
            if self._switch.needs_step_reading(self._clock.now()):
                await self._read_step()
            orders = self._switch.next_orders(self._clock.now())
            if not orders or not self._can_order():
                return
            replies = await asyncio.gather(
                *(self._send(order) for order in orders)
            )
            overdue_s = self._clock.now() - self._reports_due_at
            if Reply.LOST in replies and overdue_s > MAX_REPORT_DELAY_S:
                return

    async def _send(self, order: RankOrder) -> Reply:
        upstream = self._snapshot.upstreams[order.rank]
        if not self._can_order():
            return Reply.LOST
        reply = await self._link.send_order(upstream, order)
        kind = type(order).__name__.lower()
        self._meters.order_ended(kind, reply.value)
        if reply is not Reply.ACCEPTED:
            logger.info(
                'event=order_unaccepted group={} rank={} order={} reply={}',
                self._switch.group,
                order.rank,
                kind,
                reply.value,
            )
        self._switch.note_reply(order, reply, self._clock.now())
        return reply

    async def _read_step(self) -> None:
        """Read the current pass; reports are a few hundred ms old."""
        counts = await self._link.read_counts(self._snapshot.upstreams[0])
        if counts is None:
            logger.info('event=step_unread group={} rank=0', self._switch.group)
            return
        self._switch.note_step(counts.epoch, counts.step, self._clock.now())

    async def _read_reports(self) -> None:
        """Read the reports that a switch needs.

        If none of these ranks responds, they may have been replaced. Only the
        other ranks then report the new epoch.
        """
        polled = ranks_to_poll(self._switch)
        if not await self._read_ranks(polled):
            await self._read_ranks(
                self._snapshot.upstreams.keys() - set(polled)
            )

    async def _read_ranks(self, ranks: Iterable[int]) -> bool:
        """Read the reports of some ranks; return whether one responded."""
        upstreams = self._snapshot.upstreams
        reports = await asyncio.gather(
            *(self._link.read_report(upstreams[rank]) for rank in ranks)
        )
        known = [report for report in reports if report is not None]
        for report in known:
            self._switch.note_report(report)
        return bool(known)
