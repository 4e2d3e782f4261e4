"""Connects a rank's guard with its engine, to which it sends orders."""

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
    FetchWeights,
    OrderReceived,
    QueryDecision,
    RankAction,
    RankEvent,
    WeightsFetched,
)

if TYPE_CHECKING:
    from snipebend.kernel.tasks import TaskSupervisor
    from snipebend.orders.messages import MapAction
    from snipebend.transport.fence_reader import FenceReader
    from snipebend.transport.map_orders import MapOrders

#: Seconds before an order that the engine didn't execute is sent again.
RETRY_INTERVAL_S = 0.5

_MS_PER_S = 1000

_SWITCH_ACTIONS: tuple[MapAction, ...] = ('prepare', 'activate')


class RankSwitch:
    """Runs the guard of one rank in one group for the agent's lifetime."""

    def __init__(
        self,
        group: str,
        rank: str,
        maps: MapOrders,
        reader: FenceReader,
        tasks: TaskSupervisor,
    ) -> None:
        """Start the first guard; the group's fence must already be known."""
        self._group = group
        self._rank = rank
        self._maps = maps
        self._reader = reader
        self._tasks = tasks
        self._rng = Random()
        self._observe_lock = asyncio.Lock()
        self._activation_lock = asyncio.Lock()
        self._start_guard()

    async def handle_order(self, order: RankOrder) -> RankReport:
        """Apply an order to guard and engine; return the guard's report.

        The engine's state is read first. ``Prepare`` also clears the record of
        the weights that the engine has fetched.

        Raises:
            GRPCError: if the state could not be read, or the engine did not
                execute the resulting decision.
        """
        await self._observe_engine()
        if isinstance(order, Prepare):
            # The engine must receive each hold step, even if it already holds
            # the weights.
            self.guard.promise.fetched.clear()
        self.handle_event(OrderReceived(order))
        await self._apply_decision()
        return self.guard.report(refused=self.guard.is_stale(order.fence))

    def handle_event(self, event: RankEvent) -> None:
        """Pass an event to the guard and start the actions that it requests."""
        now = self._maps.clock.now()
        for action in self.guard.step(event, now, self._rng):
            self._execute(action)
        self._maps.record_fence(self._group, self.guard.fence)

    def dump(self) -> dict[str, object]:
        """Return the guard's fence, stamps and promise."""
        return {
            'life': self.guard.life,
            'fence': self.guard.fence,
            'installed': str(self.guard.promise.installed),
            'prepared': str(self.guard.promise.prepared),
            'hold_step': self.guard.promise.hold_step,
        }

    def _start_guard(self) -> None:
        life = int(self._maps.clock.wall() * _MS_PER_S)
        fence = self._maps.fence(self._group)
        self.guard = RankGuard(self._rank, life, fence, EngineSteps)
        #: The last decision that the engine was ordered to prepare. The engine
        #: may hold for it even if it has not replied.
        self._prepared_decision: SwitchDecision | None = None
        self._activated = MapStamp()

    async def _observe_engine(self) -> None:
        """Update the guard with the engine's step.

        If the engine has restarted, start a new guard. Replies must not
        overtake each other, because an older one looks like a restart.
        """
        async with self._observe_lock:
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
            self._start_guard()

    def _execute(self, action: RankAction) -> None:
        order = self.guard.promise.fetching
        guard = self.guard
        if isinstance(action, FetchWeights) and order is not None:
            self._tasks.once('fetch', lambda: self._fetch_weights(guard, order))
        elif isinstance(action, QueryDecision):
            self._tasks.once(
                'ask-decision', lambda: self._query_decision(guard)
            )

    async def _fetch_weights(self, guard: RankGuard, order: Prepare) -> None:
        """Order the engine to fetch weights at the time of the schedule."""
        wait_s = order.fetch_at - self._maps.clock.wall()
        await asyncio.sleep(max(wait_s, 0))
        while self.guard is guard and guard.promise.fetching is order:
            self._prepared_decision = order.decision
            if await self._send_order(order.decision, 'prepare'):
                await self._observe_engine()
                if self.guard is guard:
                    self.handle_event(WeightsFetched(order.decision.digest))
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _query_decision(self, guard: RankGuard) -> None:
        record = await self._reader.record(self._group)
        if record.is_ok() and self.guard is guard:
            order = Activate(self._group, guard.fence, record.unwrap())
            self.handle_event(OrderReceived(order))
            await self._apply_decision()

    async def _apply_decision(self) -> None:
        """Send a decision to the engine before a report shows it as known.

        Raises:
            GRPCError: when the engine didn't execute it; the coordinator then
                repeats its order.
        """
        async with self._activation_lock:
            await self._activate()
            await self._abort_if_released()

    async def _activate(self) -> None:
        decision = self.guard.promise.pending or self.guard.runner.in_force
        if decision is not None and self._activated != decision.stamp:
            await self._send_actions(decision, *_SWITCH_ACTIONS)
            self._activated = decision.stamp

    async def _abort_if_released(self) -> None:
        """Order the engine to continue if its pending map was aborted."""
        prepared = self._prepared_decision
        promise = self.guard.promise
        if prepared is None or promise.hold_step is not None:
            return
        if promise.fetching and promise.fetching.decision == prepared:
            return
        if prepared.stamp != promise.installed:
            await self._send_actions(prepared, 'abort')
        if self._prepared_decision is prepared:
            self._prepared_decision = None

    async def _send_actions(
        self,
        decision: SwitchDecision,
        *actions: MapAction,
    ) -> None:
        for action in actions:
            if not await self._send_order(decision, action):
                raise GRPCError(
                    Status.UNAVAILABLE, f'engine did not execute {action}'
                )

    async def _send_order(
        self, decision: SwitchDecision, action: MapAction
    ) -> bool:
        fence = self.guard.fence
        return await self._maps.send(self._group, fence, decision, action)
