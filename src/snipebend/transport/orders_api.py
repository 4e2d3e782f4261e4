"""The agent's gRPC service for orders to its engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger

from snipebend.kernel.service import Service
from snipebend.orders.expert_load import ExpertLoadQuery, ExpertLoadReply
from snipebend.orders.fencing import FenceGate
from snipebend.orders.messages import EngineOrder, OrderOutcome, OrderReply
from snipebend.transport.engine_client import EngineClient
from snipebend.transport.forward import HttpClient
from snipebend.transport.rank_methods import EXPERT_LOAD, ORDER
from snipebend.transport.rpc_server import Endpoint, RpcServer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.transport.fence_reader import FenceReader


class OrdersApi(Service):
    """Checks the fence of each order and forwards one order at a time.

    Orders to an engine that ignores fences must not overtake each other.
    Therefore the next order is sent only after the engine has replied to the
    previous one or its deadline has passed.
    """

    def __init__(
        self,
        name: str,
        server: RpcServer,
        engine_address: str,
        reader: FenceReader,
    ) -> None:
        """Add the endpoints to the server."""
        super().__init__(name)
        self.gate = FenceGate()
        self._engine_address = engine_address
        self._reader = reader
        self._lock = asyncio.Lock()
        server.add(
            Endpoint(ORDER, self.order),
            Endpoint(EXPERT_LOAD, self.expert_load),
        )

    async def start(self, registry: Registry) -> None:
        """Create the engine's client; fences are read with the first orders."""
        self._clock = registry.clock
        self.engine = EngineClient(
            self._engine_address,
            registry.find('client', HttpClient),
        )

    def dump(self) -> Mapping[str, object]:
        """Return the known fences."""
        return {'fences': self.gate.fences()}

    async def order(self, req: EngineOrder) -> OrderReply:
        """Execute an order, or refuse it without effect."""
        await self.read_fence(req.group)
        async with self._lock:
            now = self._clock.wall()
            admitted = self.gate.admit(req, now)
            if admitted.is_err():
                reply = OrderReply(
                    OrderOutcome.REFUSED,
                    self.gate.fence(req.group),
                    str(admitted.unwrap_err().message),
                )
            else:
                reply = await self.engine.execute(req, req.deadline_at - now)
        logger.info(
            'event=order kind={} group={} fence={} outcome={} reason={!r}',
            req.kind,
            req.group,
            req.fence,
            reply.outcome.value,
            reply.reason,
        )
        return reply

    async def read_fence(self, group: str) -> None:
        """Read the group's fence from a quorum, unless it is already known."""
        if self.gate.has_fence(group):
            return
        fence = await self._reader.fence(group)
        if fence.is_ok():
            self.gate.record_fence(group, fence.unwrap())

    async def expert_load(self, req: ExpertLoadQuery) -> ExpertLoadReply:
        """Return the engine's expert counts since the previous query."""
        answer = await self.engine.expert_load()
        if answer.is_err():
            raise GRPCError(Status.UNAVAILABLE, str(answer.unwrap_err()))
        return answer.unwrap()
