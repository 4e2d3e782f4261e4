"""Sends commands and reads to the group's leader, with retries."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING, Any

from msgspec import msgpack, structs
from result import Err, Ok, Result

from snipebend.consensus.events import (
    MembersChange,
    MembersProposed,
    Proposed,
    ReadRequested,
)
from snipebend.errors.hierarchy import UnavailableError
from snipebend.state.commands import (
    Command,
    Reply,
    decode_command,
    decode_reply,
    encode_command,
)
from snipebend.transport.group_messages import (
    ForwardReply,
    ForwardRequest,
    ReadIndexRequest,
)
from snipebend.transport.methods import FORWARD, READ_INDEX
from snipebend.transport.replica_messages import CoreRequest, RequestOutcome

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from snipebend.kernel.clock import Clock
    from snipebend.transport.replica import Replica
    from snipebend.transport.rpc_clients import RpcClients

#: Timeout in seconds of a command or read, including retries.
REQUEST_TIMEOUT_S = 4.0

#: Timeout in seconds of one call to the leader.
HOP_TIMEOUT_S = 1.5

#: Seconds before a failed attempt is retried.
RETRY_DELAY_S = 0.05


class LeaderClient:
    """Executes commands and reads on the leader, locally or by one call.

    A request with an unknown outcome is retried: all commands are idempotent.
    """

    def __init__(
        self, replica: Replica, clients: RpcClients, clock: Clock
    ) -> None:
        """Store the replica and the clients for calls to the leader."""
        self._replica = replica
        self._clients = clients
        self._clock = clock
        self._numbers = count()
        self.confirmed_at: float | None = None

    async def execute(
        self, command: Command
    ) -> Result[Reply, UnavailableError]:
        """Commit and execute a command."""

        async def attempt(remaining: float) -> RequestOutcome:
            if self._replica.leads:
                return await self.propose(command, remaining)
            return await self._forward(command, remaining)

        return await self._retry_until_deadline(attempt)

    async def read(self) -> Result[int, UnavailableError]:
        """Wait until all entries committed before the call are applied here.

        Sets ``confirmed_at`` to the time of the call: a quorum has confirmed
        that no later entry was committed by then.
        """

        async def attempt(remaining: float) -> RequestOutcome:
            if self._replica.leads:
                return await self.read_index(remaining)
            return await self._forward_read_index(remaining)

        began = self._clock.now()
        index = await self._retry_until_deadline(attempt)
        if index.is_err():
            return index
        outcome = await self._replica.wait_applied(
            index.unwrap(), REQUEST_TIMEOUT_S
        )
        if outcome.is_ok():
            self.confirmed_at = max(began, self.confirmed_at or began)
        return outcome

    async def propose(self, command: Command, timeout: float) -> RequestOutcome:
        """Propose a command on this leader, stamped with its wall time."""
        if self._replica.storage_error:
            reason = f'storage: {self._replica.storage_error}'
            return Err(UnavailableError(reason, step='propose'))
        stamped = structs.replace(command, at=self._clock.wall())
        event = Proposed(self._next_key(), encode_command(stamped))
        return await self._submit(event, timeout)

    async def read_index(self, timeout: float) -> RequestOutcome:
        """Request the index of a linearizable read from this leader."""
        return await self._submit(ReadRequested(self._next_key()), timeout)

    async def change_members(self, change: MembersChange) -> RequestOutcome:
        """Propose a membership change on this leader."""
        event = MembersProposed(self._next_key(), change)
        return await self._submit(event, HOP_TIMEOUT_S)

    async def execute_forwarded(
        self, req: ForwardRequest
    ) -> ForwardReply | None:
        """Execute a follower's command; return None if it isn't committed."""
        if not self._replica.leads:
            return None
        command = decode_command(req.command)
        outcome = await self.propose(command, HOP_TIMEOUT_S)
        if outcome.is_err():
            return None
        return ForwardReply(msgpack.encode(outcome.unwrap()))

    async def _submit(
        self,
        event: Proposed | MembersProposed | ReadRequested,
        timeout: float,
    ) -> RequestOutcome:
        fut: asyncio.Future[RequestOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        if not self._replica.offer(CoreRequest(event, fut)):
            return Err(
                UnavailableError('too many waiting messages', step='ask')
            )
        try:
            async with asyncio.timeout(timeout):
                return await fut
        except TimeoutError:
            return Err(
                UnavailableError(f'no quorum within {timeout:g} s', step='ask')
            )

    async def _forward(
        self, command: Command, remaining: float
    ) -> RequestOutcome:
        leader = self._replica.leader_address
        if not leader:
            return Err(UnavailableError('no leader', step='forward'))
        outcome = await self._clients.call(
            leader,
            FORWARD,
            ForwardRequest(encode_command(command)),
            timeout=min(HOP_TIMEOUT_S, remaining),
        )
        return outcome.map(lambda reply: decode_reply(command, reply.reply))

    async def _forward_read_index(self, remaining: float) -> RequestOutcome:
        leader = self._replica.leader_address
        if not leader:
            return Err(UnavailableError('no leader', step='read'))
        outcome = await self._clients.call(
            leader,
            READ_INDEX,
            ReadIndexRequest(),
            timeout=min(HOP_TIMEOUT_S, remaining),
        )
        return outcome.map(lambda reply: reply.index)

    async def _retry_until_deadline(
        self, attempt: Callable[[float], Awaitable[RequestOutcome]]
    ) -> Result[Any, UnavailableError]:
        deadline = self._clock.now() + REQUEST_TIMEOUT_S
        while True:
            outcome = await attempt(deadline - self._clock.now())
            if outcome.is_ok():
                return Ok(outcome.unwrap())
            if self._clock.now() + RETRY_DELAY_S >= deadline:
                return outcome
            await asyncio.sleep(RETRY_DELAY_S)

    def _next_key(self) -> str:
        return str(next(self._numbers))
