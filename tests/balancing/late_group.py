"""Model of a group whose ranks execute some orders late, and its leader.

Runs on virtual time. The group starts passes only while it has work. An order
that is late gets no reply and is executed seconds later if it still fits.
"""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import suppress

from snipebend.experts.direct_orders import Go, RankCounts, Reply
from snipebend.experts.group_pass_times import GroupPassTimes
from snipebend.experts.sizes import ExpertSizes, initial_map
from snipebend.state.group_plans import GroupPlan, PlanRequest
from snipebend.state.roster import RecordRequest, UpstreamRecord
from tests.balancing.group_model import GroupShape, Leader
from tests.experts.direct_simulation import (
    GROUP,
    LEASE_S,
    PASS_S,
    RANKS,
    REPORT_LAG_S,
    Engines,
)

SHAPE = GroupShape(RANKS, layers=1, experts=6, places=4, exponent=1)
LAYERS = initial_map(ExpertSizes(1, 6, 4, 2, 1), RANKS)
ROUND_TRIP_S = 0.004
#: Seconds after which a leader gives up on a reply.
REPLY_TIMEOUT_S = 0.04
#: Seconds between two recorded states, from which late reports are made.
RECORD_INTERVAL_S = 0.02


class _Ranks(Engines):
    """Ranks that accept ``Go`` again once nothing is on hold."""

    def execute(self, order, now):
        if isinstance(order, Go) and order.epoch == self.epoch:
            if self.ranks[order.rank].held is None:
                return True
        return super().execute(order, now)


class LateGroup:
    """The ranks, as the leader's link to them; counts show no demand."""

    shape = SHAPE

    def __init__(self, rng, delay_of=None):
        """Create an idle group.

        ``delay_of`` returns the seconds by which an order is late, None if it
        is executed at once.
        """
        self.engines = _Ranks(rng)
        self.delay_of = delay_of or (lambda order: None)
        #: Identities of the upstreams that were replaced.
        self._lost = set()
        #: The leader that is running, if any.
        self.leader = None
        self._refused_version = 0
        self._work = asyncio.Event()
        self._history = deque()
        self._tasks = [
            asyncio.ensure_future(self._run_passes()),
            asyncio.ensure_future(self._record_states()),
        ]

    @property
    def map_versions(self):
        return {rank.map_version for rank in self.engines.ranks}

    @property
    def armed(self):
        """The map version and pass for which each rank is armed."""
        return {rank.armed for rank in self.engines.ranks}

    async def replace_leader(self):
        """Stop the leader, also during a switch, and elect the next one."""
        before = self.leader
        if before is not None:
            await before.stop()
            await asyncio.sleep(LEASE_S)
        term = before.store.group.replica.status.term + 1 if before else 1
        self.leader = Leader(self, GroupPassTimes(), before, term)
        await self.leader.start()

    def plan_switch(self):
        """Commit a plan once the last one is in force; return its version."""
        plans = self.leader.store.local_machine.state.plans
        latest = plans.latest(GROUP)
        in_force = latest.version if latest.epoch == self.engines.epoch else 0
        is_refused = latest.version == self._refused_version
        if self.map_versions != {in_force} and not is_refused:
            return latest.version
        plan = GroupPlan(GROUP, self.engines.epoch, plans.next_version, LAYERS)
        plans.decide(PlanRequest(plan, latest.version))
        return plan.version

    def crash(self):
        """Form the group again, as after the loss of a rank."""
        self.engines.crash()

    def replace_rank(self, rank):
        """Form the group again with a rank at another address."""
        self.crash()
        self._lost.add(str(rank))
        identity = str(RANKS + rank)
        record = UpstreamRecord(identity, 's', f'10.0.1.{rank}:80', 'dc', 3)
        roster = self.leader.store.local_machine.state.roster
        roster.record(RecordRequest(record))

    def refuse_next_plan(self):
        """Let a rank refuse the next version, which it had in another group.

        Returns that version.
        """
        plans = self.leader.store.local_machine.state.plans
        rank = self.engines.ranks[1]
        rank.highest = max(rank.highest, plans.next_version)
        self._refused_version = rank.highest
        return rank.highest

    def execute(self, order):
        """Execute an order now; return whether it was accepted."""
        return self.engines.execute(order, _now())

    def begin_work(self):
        self._work.set()

    def end_work(self):
        self._work.clear()

    async def stop(self):
        """Stop all tasks; raise what ended the passes, such as mixed maps."""
        await self.leader.stop()
        for task in self._tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    async def read_report(self, upstream):
        await asyncio.sleep(ROUND_TRIP_S)
        if upstream.identity in self._lost:
            return None
        report = self._history[0][1][_rank_of(upstream)]
        return report._replace(identity=upstream.identity)

    async def read_counts(self, upstream):
        await asyncio.sleep(ROUND_TRIP_S)
        if upstream.identity in self._lost:
            return None
        counts = (0,) * (SHAPE.layers * SHAPE.experts)
        return RankCounts(self.engines.epoch, self.engines.step, counts)

    async def read_map(self, upstream):
        return tuple(layer[_rank_of(upstream)] for layer in LAYERS)

    async def send_order(self, upstream, order):
        if upstream.identity in self._lost:
            await asyncio.sleep(REPLY_TIMEOUT_S)
            return Reply.LOST
        delay_s = self.delay_of(order)
        if delay_s is not None:
            asyncio.get_running_loop().call_later(delay_s, self.execute, order)
            await asyncio.sleep(REPLY_TIMEOUT_S)
            return Reply.LOST
        await asyncio.sleep(ROUND_TRIP_S)
        return Reply.ACCEPTED if self.execute(order) else Reply.REFUSED

    async def close(self):
        """Do nothing: no connections are open."""

    def load(self):
        """Do nothing: no modules are required."""

    async def _run_passes(self):
        while True:
            await self._work.wait()
            self.engines.begin_pass()
            await asyncio.sleep(PASS_S)

    async def _record_states(self):
        while True:
            now = _now()
            reports = [self.engines.report(rank, now) for rank in range(RANKS)]
            self._history.append((now, reports))
            while self._history[0][0] < now - REPORT_LAG_S:
                self._history.popleft()
            await asyncio.sleep(RECORD_INTERVAL_S)


def _rank_of(upstream):
    return int(upstream.identity) % RANKS


def _now():
    return asyncio.get_running_loop().time()
