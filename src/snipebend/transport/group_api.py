"""What the control daemons of one group ask of each other, and operators."""

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
from snipebend.transport.group_questions import HOP_S
from snipebend.transport.letters import Tell
from snipebend.transport.methods import (
    DELIVER,
    FORWARD,
    GROUP,
    HELLO,
    JOIN,
    READ_INDEX,
)
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

_NOT_LEADING = 'not the leader'


class GroupApi(Service):
    """Answers for the replica of this daemon."""

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
        """Find the state."""
        self._state = registry.find('state', ReplicatedState)

    async def deliver(self, feed: AsyncIterator[Delivery]) -> DeliveryEnd:
        """Take in messages of log replication until the peer ends."""
        async for delivery in feed:
            self._take_in(delivery)
        return DeliveryEnd()

    async def hello(self, req: HelloRequest) -> HelloReply:
        """Tell who this is and the members it knows."""
        group = self._state.group
        if group is None:
            return HelloReply(self._state.own)
        return HelloReply(self._state.own, group.replica.status.members)

    async def join(self, req: JoinRequest) -> JoinReply:
        """Take in a member with a new disk, if this daemon leads."""
        group = self._state.found_group()
        if not group.replica.leads:
            return JoinReply(accepted=False, reason=_NOT_LEADING)
        return await group.repairs.join(req)

    async def forward(self, req: ForwardRequest) -> ForwardReply:
        """Execute a follower's command, if this daemon leads."""
        group = self._state.found_group()
        reply = await group.questions.take_forwarded(req)
        if reply is None:
            raise GRPCError(Status.UNAVAILABLE, _NOT_LEADING)
        return reply

    async def read_index(self, req: ReadIndexRequest) -> ReadIndexReply:
        """Return the index for a follower's read, if this daemon leads."""
        group = self._state.found_group()
        answer = await group.questions.read_index(HOP_S)
        if answer.is_err():
            raise GRPCError(Status.UNAVAILABLE, _NOT_LEADING)
        return ReadIndexReply(answer.unwrap())

    async def describe(self, req: GroupQuery) -> GroupReply:
        """Return this daemon's view of the group."""
        group = self._state.group
        if group is None:
            return GroupReply(self._state.own)
        return group.describe()

    def _take_in(self, delivery: Delivery) -> None:
        group = self._state.group
        if group is None:
            return
        replica = group.replica
        for envelope in delivery.envelopes:
            replica.links.learn_address(
                envelope.source, delivery.source_address
            )
            replica.offer(Tell(Received(envelope)))
