"""Control leaders, agents and engines in one process, over real sockets.

The tests of expert map switches run in this environment.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import msgspec
import numpy as np
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from snipebend.experts.model import ExpertMap
from snipebend.experts.switch_cost import PlacedMap
from snipebend.experts.switch_messages import Activate, Decide, MapStamp
from snipebend.fleet.model import Fleet
from snipebend.fleet.parsing import parse_fleet
from snipebend.kernel.process import Process
from snipebend.kernel.service import Service
from snipebend.membership.messages import Announcement
from snipebend.orders.issuer import IssuerConfig
from snipebend.standin.app import build_engine_app
from snipebend.standin.engine import Engine
from snipebend.standin.settings import EngineConfig
from snipebend.state.commands import DecideExpertMap, TakeFence
from snipebend.state.machine import Machine
from snipebend.transport.expert_service import ExpertConfig, ExpertService
from snipebend.transport.fence_reader import FenceReader
from snipebend.transport.forward import HttpClient
from snipebend.transport.http_server import HttpServer
from snipebend.transport.map_planning import Plan, RoundRobinPlanner
from snipebend.transport.methods import READ_FENCE, READ_MAP
from snipebend.transport.orders_api import OrdersApi
from snipebend.transport.rank_api import RankApi
from snipebend.transport.rpc_clients import RpcClients
from snipebend.transport.rpc_server import Endpoint, RpcServer
from tests.programs import WAIT_TIMEOUT_S

GROUP = 'drafting'
RANKS = 3
LEASE = IssuerConfig(lease_s=1, renew_s=0.5, order_s=0.4, drift_s=0.1)
_ENGINE = EngineConfig(step_ms=40)
_CFG = ExpertConfig(settle_s=0.1, rebalance_s=0.2, horizon_s=0.2, lease=LEASE)


class Store(Service):
    """The committed state; agents read its maps unless it is unavailable."""

    def __init__(self) -> None:
        super().__init__('state-api')
        self.machine = Machine()
        self.unavailable = False
        self.grpc = RpcServer('grpc', '127.0.0.1', 0)
        self.grpc.add(
            Endpoint(READ_FENCE, self.read_fence),
            Endpoint(READ_MAP, self.read_map),
        )

    async def read_fence(self, req: Any) -> Any:
        return self.machine.state.fences.read(req.group)

    async def read_map(self, req: Any) -> Any:
        if self.unavailable:
            raise GRPCError(Status.UNAVAILABLE, 'unavailable')
        return self.machine.state.maps.read(req.group)


class Leader:
    """One control daemon's access to the state, which can be cut off."""

    def __init__(self, store: Store) -> None:
        self.leads = False
        self.isolated = False
        self.on_decide: Callable[[], str] = str
        self._store = store

    async def take_fence(self, req: Any) -> Any:
        self._check()
        return self._store.machine.execute(TakeFence(req, time.time()))

    async def decide_map(self, req: Any) -> Any:
        self._check()
        if isinstance(req.change, Decide):
            verdict = self.on_decide()
            if verdict == 'isolate':
                self.isolated = True
            elif verdict == 'die-before':
                self.crash()
            elif verdict == 'die-after':
                self._store.machine.execute(DecideExpertMap(req, time.time()))
                self.crash()
        self._check()
        return self._store.machine.execute(DecideExpertMap(req, time.time()))

    async def read_map(self, req: Any) -> Any:
        self._check()
        return self._store.machine.state.maps.read(req.group)

    def crash(self) -> None:
        """Lose access to the state and stop all tasks that run switches."""
        self.isolated = True
        self.leads = False

    def _check(self) -> None:
        if self.isolated:
            raise GRPCError(Status.UNAVAILABLE, 'isolated')


class ScriptedPlanner(RoundRobinPlanner):
    """Plans a new map as many times as the test sets in ``wanted``."""

    pending_plans = 0

    def rebalance(self, in_force: PlacedMap, loads: Any, context: Any) -> Plan:
        if not type(self).pending_plans:
            return Plan(None, 'nothing to do')
        type(self).pending_plans -= 1
        rolled = np.roll(in_force.expert_map.placement, 1, axis=1)
        version = in_force.expert_map.version + 1
        placed = PlacedMap(in_force.members, ExpertMap(version, rolled))
        return Plan(placed, 'shifted', skew=1.5)


def _plan(group: Any, fleet: Any) -> ScriptedPlanner:
    return ScriptedPlanner(group)


class LossyRank(RankApi):
    """Rejects the activations under one fence."""

    lost_fence = 0

    async def handle_order(self, order: Any) -> Any:
        if isinstance(order, Activate) and order.fence == self.lost_fence:
            raise GRPCError(Status.UNAVAILABLE, 'activation lost')
        return await super().handle_order(order)


class SwitchEnvironment:
    """A store, two leaders and a group of ranks."""

    def __init__(self, fleet_text: str) -> None:
        self.store = Store()
        self.leaders = [Leader(self.store) for _ in range(2)]
        self.services: list[ExpertService] = []
        self.ranks: list[LossyRank] = []
        self.agents: list[str] = []
        self.engines: list[Engine] = []
        self.clients = RpcClients()
        self._fleet = parse_fleet(fleet_text, 'test').unwrap()
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> SwitchEnvironment:
        await self._run('store', [self.store.grpc])
        for number in range(RANKS):
            self.agents.append(await self.start_agent(number))
        for number, leader in enumerate(self.leaders):
            grpc = RpcServer('grpc', '127.0.0.1', 0)
            service = ExpertService(
                'experts',
                grpc,
                leader,
                leader,
                self,
                _plan,
                _CFG,
            )
            self.services.append(service)
            await self._run(f'control-{number}', [service, grpc])
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.clients.close()
        await self._stack.aclose()

    def fleet(self) -> Fleet:
        return self._fleet

    def upstreams(self) -> tuple[Announcement, ...]:
        return tuple(
            Announcement(f'rank-{number}', GROUP, 'dc', '', address, 1, 1)
            for number, address in enumerate(self.agents)
        )

    async def start_agent(self, number: int) -> str:
        """Start an agent, and its engine unless that is already running."""
        if number == len(self.engines):
            self.engines.append(await self._start_engine())
        engine = self.engines[number]
        grpc = RpcServer('grpc', '127.0.0.1', 0)
        reader = FenceReader([self.store.grpc.address], self.clients)
        rank = LossyRank('ranks', grpc, f'rank-{number}', reader)
        self.ranks.append(rank)
        services = [
            HttpClient('client'),
            OrdersApi('orders', grpc, engine.address, reader),
            rank,
            grpc,
        ]
        await self._run(f'agent-{number}', services)
        return grpc.address

    def stamps(self) -> list[MapStamp]:
        """Return the stamp of the map in force on each engine."""
        states = [
            engine.orders.rank_state(engine.clock.step)
            for engine in self.engines
        ]
        return [
            MapStamp(state.incarnation, state.map_version) for state in states
        ]

    def activations(self) -> list[list[dict[str, Any]]]:
        """Return the activations that each engine has executed."""
        return [
            [
                order
                for order in map(msgspec.json.decode, engine.orders.executed)
                if order['action'] == 'activate'
            ]
            for engine in self.engines
        ]

    def decided_version(self) -> int:
        """Return the map version of the committed decision."""
        decision = self.store.machine.state.maps.read(GROUP).record.decision
        return decision.stamp.map_version

    def has_activated(self, version: int) -> list[bool]:
        """Return, for each engine, whether it has activated a version."""
        return [
            any(order['map_version'] == version for order in orders)
            for orders in self.activations()
        ]

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""

        async def poll() -> None:
            while not condition():
                await asyncio.sleep(0.02)

        await asyncio.wait_for(poll(), WAIT_TIMEOUT_S)

    async def wait_for_map(self, version: int) -> MapStamp:
        """Wait until all engines have one map, of at least this version."""
        await self.wait_until(
            lambda: (
                len(set(self.stamps())) == 1
                and self.stamps()[0].map_version >= version
            ),
        )
        return self.stamps()[0]

    async def _start_engine(self) -> Engine:
        loop = asyncio.get_running_loop()
        engine = Engine(_ENGINE, clock=loop.time, on_crash=str)
        http = HttpServer('http', '127.0.0.1', 0)
        http.serve(build_engine_app(_ENGINE, engine))
        await self._run('engine', [http])
        engine.address = http.address  # type: ignore[attr-defined]
        return engine

    async def _run(self, name: str, services: list[Service]) -> None:
        process = Process(name, services)
        await process.start()
        self._stack.push_async_callback(process.stop)


Scenario = Callable[[SwitchEnvironment], Awaitable[None]]
