"""The control daemon's gRPC service for claims, fences, crashes and maps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.kernel.service import Service
from snipebend.state.commands import (
    Claim,
    ClearSuspect,
    DecideExpertMap,
    ReportCrash,
    Settle,
    TakeFence,
)
from snipebend.state.crashes import SuspectList
from snipebend.transport.methods import (
    CLAIM,
    CLEAR_SUSPECT,
    DECIDE_MAP,
    READ_FENCE,
    READ_MAP,
    REPORT_CRASH,
    SETTLE,
    SUSPECTS,
    TAKE_FENCE,
)
from snipebend.transport.rpc_server import Endpoint, RpcServer
from snipebend.transport.replicated_state import ReplicatedState

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry
    from snipebend.state.claims import (
        ClaimReply,
        ClaimRequest,
        SettleReply,
        SettleRequest,
    )
    from snipebend.state.crashes import (
        CrashReport,
        SuspectCleared,
        SuspectQuery,
    )
    from snipebend.state.expert_maps import (
        DecideMapReply,
        MapDecision,
        MapQuery,
    )
    from snipebend.state.fences import FenceQuery, FenceReply, FenceRequest


class StateApi(Service):
    """Executes requests as commands on, or reads of, the replicated state."""

    def __init__(self, name: str, server: RpcServer) -> None:
        """Add the endpoints to the server."""
        super().__init__(name)
        server.add(
            Endpoint(CLAIM, self.claim),
            Endpoint(SETTLE, self.settle),
            Endpoint(TAKE_FENCE, self.take_fence),
            Endpoint(READ_FENCE, self.read_fence),
            Endpoint(REPORT_CRASH, self.report_crash),
            Endpoint(CLEAR_SUSPECT, self.clear_suspect),
            Endpoint(SUSPECTS, self.suspects),
            Endpoint(DECIDE_MAP, self.decide_map),
            Endpoint(READ_MAP, self.read_map),
        )

    async def start(self, registry: Registry) -> None:
        """Look up the replicated state."""
        self._store = registry.find('state', ReplicatedState)

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Claim an idempotency key."""
        reply: ClaimReply = await self._store.execute(
            Claim(req, self._store.wall()),
        )
        return reply

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Record the outcome of the attempt that holds a key."""
        reply: SettleReply = await self._store.execute(
            Settle(req, self._store.wall()),
        )
        return reply

    async def take_fence(self, req: FenceRequest) -> FenceReply:
        """Take or renew a group's fence."""
        reply: FenceReply = await self._store.execute(
            TakeFence(req, self._store.wall()),
        )
        return reply

    async def read_fence(self, req: FenceQuery) -> FenceReply:
        """Return a group's fence; the read is linearizable."""
        machine = await self._store.read()
        return machine.state.fences.read(req.group)

    async def report_crash(self, req: CrashReport) -> SuspectList:
        """Count an upstream's crash; return all suspects."""
        reply: SuspectList = await self._store.execute(
            ReportCrash(req, self._store.wall()),
        )
        return reply

    async def clear_suspect(self, req: SuspectCleared) -> SuspectList:
        """Clear a request that completed; return all suspects."""
        reply: SuspectList = await self._store.execute(
            ClearSuspect(req, self._store.wall()),
        )
        return reply

    async def suspects(self, req: SuspectQuery) -> SuspectList:
        """Return this daemon's list, or an empty one if it is unchanged."""
        crashes = self._store.machine.state.crashes
        if req.revision == crashes.revision:
            return SuspectList(crashes.revision)
        return crashes.suspects()

    async def decide_map(self, req: MapDecision) -> DecideMapReply:
        """Commit a decision on a group's expert map."""
        reply: DecideMapReply = await self._store.execute(
            DecideExpertMap(req, self._store.wall()),
        )
        return reply

    async def read_map(self, req: MapQuery) -> DecideMapReply:
        """Return a group's latest decision; the read is linearizable."""
        machine = await self._store.read()
        return machine.state.maps.read(req.group)
