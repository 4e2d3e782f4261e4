"""The dependencies that the switch coordinators of all groups share."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from snipebend.experts.switch_messages import (
    Activate,
    Prepare,
    RankOrder,
    RankReport,
)
from snipebend.transport.rank_methods import ACTIVATE, PREPARE, RANK_STATUS

if TYPE_CHECKING:
    from result import Result

    from snipebend.errors.hierarchy import UnavailableError
    from snipebend.experts.switch_store import StoreSchedule
    from snipebend.kernel.clock import Clock
    from snipebend.kernel.tasks import TaskSupervisor
    from snipebend.state.expert_maps import (
        DecideMapReply,
        MapDecision,
        MapQuery,
    )
    from snipebend.state.fences import FenceReply, FenceRequest
    from snipebend.transport.rpc_clients import RpcClients

#: Timeout in seconds of one call to an agent.
RANK_TIMEOUT_S = 5.0


class DecisionStore(Protocol):
    """The replicated state; raises ``GRPCError`` when no quorum replies."""

    async def take_fence(self, req: FenceRequest) -> FenceReply:
        """Take or renew a group's fence."""

    async def decide_map(self, req: MapDecision) -> DecideMapReply:
        """Change a group's record; return once the change is durable."""

    async def read_map(self, req: MapQuery) -> DecideMapReply:
        """Return a group's record; the read is linearizable."""


class Leadership(Protocol):
    """The leadership of this daemon in the control group."""

    @property
    def leads(self) -> bool:
        """Return whether this daemon is the leader, as far as it knows."""


class SwitchLinks(NamedTuple):
    """Dependencies of a coordinator.

    ``schedule`` is that of the weight store; ``holder`` identifies the
    holder of the group's fence and is unique per start of a coordinator.
    """

    store: DecisionStore
    clients: RpcClients
    clock: Clock
    tasks: TaskSupervisor
    schedule: StoreSchedule
    holder: str


async def call_rank(
    clients: RpcClients,
    address: str,
    order: RankOrder,
) -> Result[RankReport, UnavailableError]:
    """Send an order to the agent of a rank."""
    match order:
        case Prepare():
            return await clients.call(
                address, PREPARE, order, timeout=RANK_TIMEOUT_S
            )
        case Activate():
            return await clients.call(
                address, ACTIVATE, order, timeout=RANK_TIMEOUT_S
            )
        case _:
            return await clients.call(
                address, RANK_STATUS, order, timeout=RANK_TIMEOUT_S
            )
