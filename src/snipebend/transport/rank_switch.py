"""One rank's guard and its engine: actions become orders, in one place."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from snipebend.experts.switch_engine import EngineSteps
from snipebend.experts.switch_messages import (
    Activate,
    MapStamp,
    Prepare,
    RankOrder,
    RankReport,
    SwitchDecision,
)
from snipebend.experts.switch_rank import RankGuard
from snipebend.experts.switch_rank_events import (
    QueryDecision,
    FetchWeights,
    OrderReceived,
    RankAction,
    RankEvent,
    WeightsFetched,
)

if TYPE_CHECKING:
    from snipebend.kernel.tasks import TaskSupervisor
    from snipebend.orders.messages import MapAction
    from snipebend.transport.fence_reader import FenceReader
    from snipebend.transport.map_orders import MapOrders

#: Seconds before an order that the engine did not execute is sent again.
RETRY_S = 0.5

_MS_PER_S = 1000

_SWITCH_ACTIONS: tuple[MapAction, ...] = ('prepare', 'activate')


class RankSwitch:
    """Guards one rank in one group for as long as the agent lives."""

    def __init__(
        self,
        group: str,
        rank: str,
        maps: MapOrders,
        reader: FenceReader,
        tasks: TaskSupervisor,
    ) -> None:
        """Begin the first life; the group's fence was read before."""
        self._group = group
        self._rank = rank
        self._maps = maps
        self._reader = reader
        self._tasks = tasks
        self._rng = Random()
        self._observing = asyncio.Lock()
        self._following = asyncio.Lock()
        self._begin_life()

    async def take_order(self, order: RankOrder) -> RankReport:
        """Let the guard take an order; return its report."""
        await self._observe()
        if isinstance(order, Prepare):
            # The engine must hear of each hold step, weights or not.
            self.guard.promise.fetched.clear()
        self.handle_event(OrderReceived(order))
        await self._follow()
        return self.guard.report(refused=self.guard.is_stale(order.fence))

    def handle_event(self, event: RankEvent) -> None:
        """Let the guard handle an event and begin what it asks for."""
        now = self._maps.clock.now()
        for action in self.guard.step(event, now, self._rng):
            self._act(action)
        self._maps.learn(self._group, self.guard.fence)

    def dump(self) -> dict[str, object]:
        """Return stamps, promise and fence."""
        return {
            'life': self.guard.life,
            'fence': self.guard.fence,
            'installed': str(self.guard.promise.installed),
            'prepared': str(self.guard.promise.prepared),
            'hold_step': self.guard.promise.hold_step,
        }

    def _begin_life(self) -> None:
        life = int(self._maps.clock.wall() * _MS_PER_S)
        fence = self._maps.fence(self._group)
        self.guard = RankGuard(self._rank, life, fence, EngineSteps)
        self._held: SwitchDecision | None = None
        self._activated = MapStamp()

    async def _observe(self) -> None:
        """Follow the engine's step; a restarted engine begins a new life.

        Answers must not overtake each other: an older one looks like a restart.
        """
        async with self._observing:
            answer = await self._maps.engine.rank_state()
            if answer.is_err():
                raise GRPCError(Status.UNAVAILABLE, str(answer.unwrap_err()))
            state = answer.unwrap()
        stamp = MapStamp(state.incarnation, state.map_version)
        steps = self.guard.runner
        if not isinstance(steps, EngineSteps):
            return
        if not steps.observe(state.step, stamp):
            logger.warning('event=engine_restarted group={}', self._group)
            self._begin_life()

    def _act(self, action: RankAction) -> None:
        order = self.guard.promise.fetching
        guard = self.guard
        if isinstance(action, FetchWeights) and order is not None:
            self._tasks.once('fetch', lambda: self._fetch(guard, order))
        elif isinstance(action, QueryDecision):
            self._tasks.once('ask-decision', lambda: self._ask(guard))

    async def _fetch(self, guard: RankGuard, order: Prepare) -> None:
        """Have the engine fetch weights, not before the store's schedule."""
        wait_s = order.fetch_at - self._maps.clock.wall()
        await asyncio.sleep(max(wait_s, 0))
        while self.guard is guard and guard.promise.fetching is order:
            if await self._give(order.decision, 'prepare'):
                self._held = order.decision
                await self._observe()
                if self.guard is guard:
                    self.handle_event(WeightsFetched(order.decision.digest))
                return
            await asyncio.sleep(RETRY_S)

    async def _ask(self, guard: RankGuard) -> None:
        record = await self._reader.record(self._group)
        if record.is_ok() and self.guard is guard:
            order = Activate(self._group, guard.fence, record.unwrap())
            self.handle_event(OrderReceived(order))
            await self._follow()

    async def _follow(self) -> None:
        """Tell the engine of a decision before anybody hears that it is known.

        Raises:
            GRPCError: when the engine did not take it; the order comes again.
        """
        async with self._following:
            await self._activate()
            await self._release()

    async def _activate(self) -> None:
        decision = self.guard.promise.pending or self.guard.runner.in_force
        if decision is not None and self._activated != decision.stamp:
            await self._tell(decision, *_SWITCH_ACTIONS)
            self._activated = decision.stamp

    async def _release(self) -> None:
        """Let the engine go on if the map that it holds for was aborted."""
        held = self._held
        if held is None or self.guard.promise.hold_step is not None:
            return
        if held.stamp != self.guard.promise.installed:
            await self._tell(held, 'abort')
        if self._held is held:
            self._held = None

    async def _tell(
        self,
        decision: SwitchDecision,
        *actions: MapAction,
    ) -> None:
        for action in actions:
            if not await self._give(decision, action):
                raise GRPCError(Status.UNAVAILABLE, f'engine: no {action}')

    async def _give(self, decision: SwitchDecision, action: MapAction) -> bool:
        fence = self.guard.fence
        return await self._maps.give(self._group, fence, decision, action)
