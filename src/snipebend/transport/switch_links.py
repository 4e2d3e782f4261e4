"""What drives a group's coordinator: the state, the agents, the planner."""

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

#: Seconds for one call to an agent.
RANK_TIMEOUT_S = 5.0


class DecisionStore(Protocol):
    """The replicated state; raises ``GRPCError`` when no quorum answers."""

    async def take_fence(self, req: FenceRequest) -> FenceReply:
        """Take or renew a group's fence."""

    async def decide_map(self, req: MapDecision) -> DecideMapReply:
        """Change a group's record; the answer comes once it is durable."""

    async def read_map(self, req: MapQuery) -> DecideMapReply:
        """Return a group's record as a quorum knows it."""


class Leadership(Protocol):
    """Tells whether this daemon leads the control group."""

    @property
    def leads(self) -> bool:
        """Tell whether it leads, as far as it knows."""


class SwitchLinks(NamedTuple):
    """What all groups' coordinators share in a process."""

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
    """Send an order to the agent beside a rank."""
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
