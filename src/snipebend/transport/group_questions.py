"""Asks the group's leader, wherever it is, until a deadline."""

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
from snipebend.transport.letters import Answer, Ask
from snipebend.transport.methods import FORWARD, READ_INDEX

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from snipebend.kernel.clock import Clock
    from snipebend.transport.replica import Replica
    from snipebend.transport.rpc_clients import RpcClients

#: Seconds that a command or a read may take before it is given up.
DEADLINE_S = 4.0

#: Seconds for one hop to the leader.
HOP_S = 1.5

#: Seconds before a refused question is asked again.
RETRY_DELAY_S = 0.05


class GroupQuestions:
    """Commands and reads, answered here on the leader or by one hop to it.

    A question whose fate is unknown is asked again: each command may be
    executed twice without harm.
    """

    def __init__(
        self, replica: Replica, clients: RpcClients, clock: Clock
    ) -> None:
        """Keep this member and the way to the others."""
        self._replica = replica
        self._clients = clients
        self._clock = clock
        self._numbers = count()
        self.confirmed_at: float | None = None

    async def execute(
        self, command: Command
    ) -> Result[Reply, UnavailableError]:
        """Have a command committed and executed."""

        async def once(remaining: float) -> Answer:
            if self._replica.leads:
                return await self.propose(command, remaining)
            return await self._forward(command, remaining)

        return await self._until_deadline(once)

    async def read(self) -> Result[int, UnavailableError]:
        """Wait until all is executed here that was committed before.

        ``confirmed_at`` becomes the time of the call: a quorum confirmed that
        nothing newer had been committed by then.
        """

        async def once(remaining: float) -> Answer:
            if self._replica.leads:
                return await self.read_index(remaining)
            return await self._forward_read(remaining)

        began = self._clock.now()
        index = await self._until_deadline(once)
        if index.is_err():
            return index
        answer = await self._replica.executed(index.unwrap(), DEADLINE_S)
        if answer.is_ok():
            self.confirmed_at = max(began, self.confirmed_at or began)
        return answer

    async def propose(self, command: Command, timeout: float) -> Answer:
        """Propose a command here, with the time of this leader."""
        if self._replica.storage_error:
            reason = f'storage: {self._replica.storage_error}'
            return Err(UnavailableError(reason, step='propose'))
        stamped = structs.replace(command, at=self._clock.wall())
        event = Proposed(self._key(), encode_command(stamped))
        return await self._ask(event, timeout)

    async def read_index(self, timeout: float) -> Answer:
        """Ask here for the index of a linearizable read."""
        return await self._ask(ReadRequested(self._key()), timeout)

    async def change_members(self, change: MembersChange) -> Answer:
        """Propose one change of the members here."""
        event = MembersProposed(self._key(), change)
        return await self._ask(event, HOP_S)

    async def take_forwarded(self, req: ForwardRequest) -> ForwardReply | None:
        """Execute a follower's command; nothing when this is no leader."""
        if not self._replica.leads:
            return None
        command = decode_command(req.command)
        answer = await self.propose(command, HOP_S)
        if answer.is_err():
            return None
        return ForwardReply(msgpack.encode(answer.unwrap()))

    async def _ask(
        self,
        event: Proposed | MembersProposed | ReadRequested,
        timeout: float,
    ) -> Answer:
        fut: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        if not self._replica.offer(Ask(event, fut)):
            return Err(UnavailableError('too many questions', step='ask'))
        try:
            async with asyncio.timeout(timeout):
                return await fut
        except TimeoutError:
            return Err(UnavailableError('no quorum in time', step='ask'))

    async def _forward(self, command: Command, remaining: float) -> Answer:
        leader = self._replica.leader_address
        if not leader:
            return Err(UnavailableError('no leader', step='forward'))
        answer = await self._clients.call(
            leader,
            FORWARD,
            ForwardRequest(encode_command(command)),
            timeout=min(HOP_S, remaining),
        )
        return answer.map(lambda reply: decode_reply(command, reply.reply))

    async def _forward_read(self, remaining: float) -> Answer:
        leader = self._replica.leader_address
        if not leader:
            return Err(UnavailableError('no leader', step='read'))
        answer = await self._clients.call(
            leader,
            READ_INDEX,
            ReadIndexRequest(),
            timeout=min(HOP_S, remaining),
        )
        return answer.map(lambda reply: reply.index)

    async def _until_deadline(
        self, once: Callable[[float], Awaitable[Answer]]
    ) -> Result[Any, UnavailableError]:
        deadline = self._clock.now() + DEADLINE_S
        while True:
            answer = await once(deadline - self._clock.now())
            if answer.is_ok():
                return Ok(answer.unwrap())
            if self._clock.now() + RETRY_DELAY_S >= deadline:
                return answer
            await asyncio.sleep(RETRY_DELAY_S)

    def _key(self) -> str:
        return str(next(self._numbers))
