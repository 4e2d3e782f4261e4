"""The control daemon's service for orders to evacuate data centres."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from loguru import logger
from result import Err, Ok, Result

from snipebend.errors.hierarchy import UnavailableError
from snipebend.kernel.service import Service
from snipebend.kernel.stalls import TICK_S, StallDetector
from snipebend.settings.model import ControlSettings
from snipebend.state.commands import ChangeEvacuation
from snipebend.state.evacuations import (
    EvacuationList,
    EvacuationOrder,
    EvacuationOutcome,
    EvacuationReply,
    OrderRequest,
)
from snipebend.telemetry.metrics import get_meter
from snipebend.transport.methods import LIST_EVACUATIONS, ORDER_EVACUATION
from snipebend.transport.replicated_state import ReplicatedState
from snipebend.transport.rpc_server import Endpoint, RpcServer

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.state.evacuations import EvacuationQuery, EvacuationState

#: Seconds for which an order rests before it is committed. The end of a
#: connection that was held up with an order arrives a round trip after it.
REST_S = 0.02

#: Characters of a name that no settings list; it is kept in the state.
MAX_NAME_LENGTH = 255


class EvacuationService(Service):
    """Commits orders that their operators still wait for."""

    def __init__(
        self, name: str, server: RpcServer, data_centers: Collection[str]
    ) -> None:
        """Keep the data centres that may be evacuated; none: any may."""
        super().__init__(name)
        self._data_centers = data_centers
        server.add(
            Endpoint(ORDER_EVACUATION, self._order),
            Endpoint(LIST_EVACUATIONS, self.list_records),
        )

    async def start(self, registry: Registry) -> None:
        """Look up the replicated state, and watch for stalls."""
        self._clock = registry.clock
        self._store = registry.find('state', ReplicatedState)
        self._stalls = StallDetector(self._clock.now())
        self._answers = get_meter().create_counter(
            'snipebend_evacuation_orders',
            description='orders to evacuate data centres, by outcome',
        )
        registry.tasks.start('stalls', self._tick_forever)

    async def reload(self, cfg: object) -> None:
        """Apply the data centres of changed settings."""
        if isinstance(cfg, ControlSettings):
            self._data_centers = cfg.data_centers

    def dump(self) -> Mapping[str, object]:
        """Return the latest order about each data centre."""
        dumped: dict[str, object] = msgspec.to_builtins(self._evacuations)
        return dumped

    async def order(
        self, req: OrderRequest, has_left: Callable[[], object] = bool
    ) -> Result[EvacuationReply, UnavailableError]:
        """Execute an order; return once a majority has synced it.

        An order that has waited in this process's sockets while it stood still,
        or whose operator has left (``has_left``), isn't executed: others may
        have been acknowledged since.
        """
        began_at = self._clock.now()
        after = self._evacuations.revision
        logger.info(
            'event=evacuation_ordered data_center={!r} evacuate={} after={} '
            + 'by={!r}',
            req.data_center,
            req.evacuate,
            after,
            req.ordered_by,
        )
        reply = await self._execute(req, after, has_left)
        outcome = reply.map(lambda one: one.outcome.value)
        self._answers.add(1, {'outcome': outcome.unwrap_or('unavailable')})
        logger.info(
            'event=evacuation_answered data_center={!r} evacuate={} '
            + 'outcome={} revision={} took_ms={:.0f}',
            req.data_center,
            req.evacuate,
            outcome.unwrap_or_else(repr),
            reply.map(lambda one: one.revision).unwrap_or('-'),
            1000 * (self._clock.now() - began_at),
        )
        return reply

    async def list_records(self, _: EvacuationQuery) -> EvacuationList:
        """Return the latest orders; the read is linearizable."""
        machine = await self._store.read()
        evacuations = machine.state.evacuations
        return EvacuationList(evacuations.revision, evacuations.records)

    @property
    def _evacuations(self) -> EvacuationState:
        """Return this daemon's evacuations, which may lag the leader's."""
        return self._store.machine.state.evacuations

    async def _order(self, req: OrderRequest) -> EvacuationReply:
        reply = await self.order(req)
        if reply.is_err():
            raise GRPCError(Status.UNAVAILABLE, str(reply.unwrap_err()))
        return reply.unwrap()

    async def _execute(
        self, req: OrderRequest, after: int, has_left: Callable[[], object]
    ) -> Result[EvacuationReply, UnavailableError]:
        if not self._is_known(req.data_center):
            return Ok(EvacuationReply(EvacuationOutcome.UNKNOWN, after))
        await asyncio.sleep(REST_S)
        if self._stalls.has_stalled(self._clock.now()):
            return _refuse('the order may be old: this daemon stood still')
        if has_left():
            return _refuse('the operator has disconnected')
        order = EvacuationOrder(
            req.data_center, req.evacuate, after, req.ordered_by
        )
        command = ChangeEvacuation(order, self._store.wall())
        try:
            return Ok(await self._store.execute(command))
        except GRPCError as exc:
            return _refuse(str(exc.message))

    def _is_known(self, data_center: str) -> bool:
        """Return whether orders may name a data centre.

        One with an earlier order stays known when it leaves the settings, so
        that its evacuation can be ended. Upstreams can be in data centres that
        the settings of an earlier time don't name.
        """
        state = self._store.machine.state
        if data_center in state.evacuations.records:
            return True
        if not self._data_centers:
            return 0 < len(data_center) <= MAX_NAME_LENGTH
        return data_center in self._data_centers or any(
            upstream.data_center == data_center
            for upstream in state.roster.upstreams.values()
        )

    async def _tick_forever(self) -> None:
        while True:
            self._stalls.tick(self._clock.now())
            await asyncio.sleep(TICK_S)


def _refuse(reason: str) -> Result[EvacuationReply, UnavailableError]:
    return Err(UnavailableError(reason, step='evacuate'))
