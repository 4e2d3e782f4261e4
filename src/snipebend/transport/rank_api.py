"""The agent's gRPC interface for expert map switches on its rank."""

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
    RankReport,
    StatusQuery,
)
from snipebend.experts.switch_events import Tick
from snipebend.experts.switch_rank import RankGuard
from snipebend.experts.switch_rank_events import (
    AskDecision,
    FetchWeights,
    OrderArrived,
    RankAction,
    RankEvent,
    WeightsFetched,
)
from snipebend.kernel.service import Service
from snipebend.transport.map_orders import MapOrders
from snipebend.transport.orders_api import OrdersApi
from snipebend.transport.rank_methods import ACTIVATE, PREPARE, RANK_STATUS
from snipebend.transport.rpc import Endpoint, RpcServer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.orders.messages import MapAction
    from snipebend.transport.fence_reader import FenceReader

#: Seconds between two ticks of the guards.
TICK_S = 0.1

#: Seconds before an order that the engine did not execute is sent again.
RETRY_S = 0.5

_SWITCH_ACTIONS: tuple[MapAction, ...] = ('prepare', 'activate')


class RankApi(Service):
    """Runs one guard for each group and turns its actions into orders."""

    def __init__(
        self,
        name: str,
        server: RpcServer,
        rank: str,
        reader: FenceReader,
    ) -> None:
        """Add the endpoints to the server; ``rank`` names the upstream."""
        super().__init__(name)
        self._rank = rank
        self._reader = reader
        self._guards: dict[str, RankGuard] = {}
        self._activated: dict[str, MapStamp] = {}
        self._rng = Random()
        server.add(
            Endpoint(PREPARE, self.take_order),
            Endpoint(ACTIVATE, self.take_order),
            Endpoint(RANK_STATUS, self.take_order),
        )

    async def start(self, registry: Registry) -> None:
        """Find the orders' gate; a new life begins without promises."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        self._orders = registry.find('orders', OrdersApi)
        self._maps = MapOrders(self._orders, registry.clock)
        self._tasks.start('rank-ticks', self._tick_for_ever)

    def dump(self) -> Mapping[str, object]:
        """Return each guard's stamp and promise."""
        return {
            group: {
                'life': guard.life,
                'fence': guard.fence,
                'installed': str(guard.promise.installed),
                'prepared': str(guard.promise.prepared),
                'hold_step': guard.promise.hold_step,
            }
            for group, guard in self._guards.items()
        }

    async def take_order(
        self,
        order: Prepare | Activate | StatusQuery,
    ) -> RankReport:
        """Let the group's guard take an order; return its report."""
        guard = await self._find_guard(order.group)
        guard = await self._observe(order.group, guard)
        if isinstance(order, Prepare):
            # The engine must hear of each hold step, weights or not.
            guard.promise.fetched.clear()
        self._step(order.group, guard, OrderArrived(order))
        await self._activate(order.group, guard)
        return guard.report(refused=guard.is_stale(order.fence))

    async def _find_guard(self, group: str) -> RankGuard:
        await self._orders.read_fence(group)
        if not self._orders.gate.knows(group):
            raise GRPCError(Status.UNAVAILABLE, 'the fence is not known yet')
        if group not in self._guards:
            self._guards[group] = self._begin_life(group)
        return self._guards[group]

    def _begin_life(self, group: str) -> RankGuard:
        life = int(self._clock.wall() * 1000)
        self._activated.pop(group, None)
        fence = self._orders.gate.fence(group)
        return RankGuard(self._rank, life, fence, EngineSteps)

    async def _observe(self, group: str, guard: RankGuard) -> RankGuard:
        """Follow the engine's step; a restarted engine begins a new life."""
        state = await self._orders.engine.rank_state()
        if state.is_err():
            raise GRPCError(Status.UNAVAILABLE, str(state.unwrap_err()))
        steps = guard.runner
        if isinstance(steps, EngineSteps) and steps.observe(
            state.unwrap().step
        ):
            return guard
        logger.warning('event=engine_restarted group={}', group)
        self._guards[group] = self._begin_life(group)
        return self._guards[group]

    def _step(self, group: str, guard: RankGuard, event: RankEvent) -> None:
        for action in guard.step(event, self._clock.now(), self._rng):
            self._act(group, guard, action)
        self._orders.gate.learn(group, guard.fence)

    def _act(self, group: str, guard: RankGuard, action: RankAction) -> None:
        fetching = guard.promise.fetching
        if isinstance(action, FetchWeights) and fetching is not None:
            self._tasks.once(
                'fetch-weights',
                lambda: self._fetch(group, guard, fetching),
            )
        elif isinstance(action, AskDecision):
            self._tasks.once(
                'ask-decision',
                lambda: self._ask(group, guard),
            )

    async def _fetch(
        self,
        group: str,
        guard: RankGuard,
        order: Prepare,
    ) -> None:
        """Have the engine fetch weights, not before the store's schedule."""
        wait_s = order.fetch_at - self._clock.wall()
        await asyncio.sleep(max(wait_s, 0))
        while self._is_fetching(group, guard, order):
            decision = order.decision
            told = self._maps.write(group, guard.fence, decision, 'prepare')
            if await self._maps.tell(told):
                await self._observe(group, guard)
                event = WeightsFetched(order.decision.digest)
                self._step(group, guard, event)
                return
            await asyncio.sleep(RETRY_S)

    def _is_fetching(
        self,
        group: str,
        guard: RankGuard,
        order: Prepare,
    ) -> bool:
        current = self._guards.get(group) is guard
        return current and guard.promise.fetching is order

    async def _ask(self, group: str, guard: RankGuard) -> None:
        record = await self._reader.record(group)
        if record.is_ok():
            order = Activate(group, guard.fence, record.unwrap())
            self._step(group, guard, OrderArrived(order))
            await self._activate(group, guard)

    async def _activate(self, group: str, guard: RankGuard) -> None:
        """Tell the engine of a decision before anybody hears that it knows."""
        decision = guard.promise.pending
        if decision is None or self._activated.get(group) == decision.stamp:
            return
        for action in _SWITCH_ACTIONS:
            order = self._maps.write(group, guard.fence, decision, action)
            if not await self._maps.tell(order):
                raise GRPCError(Status.UNAVAILABLE, f'engine: no {action}')
        self._activated[group] = decision.stamp

    async def _tick_for_ever(self) -> None:
        while True:
            for group, guard in tuple(self._guards.items()):
                self._step(group, guard, Tick())
            await asyncio.sleep(TICK_S)
