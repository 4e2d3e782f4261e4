"""The gRPC service between the members of a control group.

Operators use its ``Group`` method to query a member's view of the group.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from snipebend.consensus.events import Received
from snipebend.kernel.service import Service
from snipebend.transport.group_messages import (
    DeliveryEnd,
    GroupReply,
    HelloReply,
    JoinReply,
    ReadIndexReply,
)
from snipebend.transport.leader_client import HOP_TIMEOUT_S
from snipebend.transport.methods import (
    DELIVER,
    FORWARD,
    GROUP,
    HELLO,
    JOIN,
    READ_INDEX,
)
from snipebend.transport.replica_messages import CoreEvent
from snipebend.transport.replicated_state import ReplicatedState
from snipebend.transport.rpc_server import Endpoint, RpcServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from snipebend.kernel.registry import Registry
    from snipebend.transport.group_messages import (
        Delivery,
        ForwardReply,
        ForwardRequest,
        GroupQuery,
        HelloRequest,
        JoinRequest,
        ReadIndexRequest,
    )

_NOT_LEADER = 'not the leader'


class GroupApi(Service):
    """Serves calls to this daemon's replica."""

    def __init__(self, name: str, server: RpcServer) -> None:
        """Add the endpoints to the server."""
        super().__init__(name)
        server.add(
            Endpoint(DELIVER, self.deliver),
            Endpoint(HELLO, self.hello),
            Endpoint(JOIN, self.join),
            Endpoint(FORWARD, self.forward),
            Endpoint(READ_INDEX, self.read_index),
            Endpoint(GROUP, self.describe),
        )

    async def start(self, registry: Registry) -> None:
        """Look up the replicated state."""
        self._state = registry.find('state', ReplicatedState)

    async def deliver(self, feed: AsyncIterator[Delivery]) -> DeliveryEnd:
        """Receive Raft messages until the peer ends the call."""
        async for delivery in feed:
            self._post_envelopes(delivery)
        return DeliveryEnd()

    async def hello(self, req: HelloRequest) -> HelloReply:
        """Return this daemon's identity and the members that it knows."""
        group = self._state.group
        if group is None:
            return HelloReply(self._state.local_member)
        return HelloReply(
            self._state.local_member, group.replica.status.members
        )

    async def join(self, req: JoinRequest) -> JoinReply:
        """Add a member with a new disk if this daemon is the leader."""
        group = self._state.require_group()
        if not group.replica.leads:
            return JoinReply(accepted=False, reason=_NOT_LEADER)
        return await group.membership.join(req)

    async def forward(self, req: ForwardRequest) -> ForwardReply:
        """Execute a follower's command if this daemon is the leader."""
        group = self._state.require_group()
        reply = await group.leader_client.execute_forwarded(req)
        if reply is None:
            raise GRPCError(Status.UNAVAILABLE, _NOT_LEADER)
        return reply

    async def read_index(self, req: ReadIndexRequest) -> ReadIndexReply:
        """Return the index for a follower's read if this is the leader."""
        group = self._state.require_group()
        answer = await group.leader_client.read_index(HOP_TIMEOUT_S)
        if answer.is_err():
            raise GRPCError(Status.UNAVAILABLE, _NOT_LEADER)
        return ReadIndexReply(answer.unwrap())

    async def describe(self, req: GroupQuery) -> GroupReply:
        """Return this daemon's view of the group."""
        group = self._state.group
        if group is None:
            return GroupReply(self._state.local_member)
        return group.describe()

    def _post_envelopes(self, delivery: Delivery) -> None:
        group = self._state.group
        if group is None:
            return
        replica = group.replica
        for envelope in delivery.envelopes:
            replica.links.update_address(
                envelope.source, delivery.source_address
            )
            replica.offer(CoreEvent(Received(envelope)))
