"""Reads of the committed state that agents need, from any control daemon."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, TypeVar

from result import Err, Ok, Result

from snipebend.errors.hierarchy import UnavailableError
from snipebend.state.expert_maps import MapQuery
from snipebend.state.fences import FenceQuery
from snipebend.transport.methods import READ_FENCE, READ_MAP

if TYPE_CHECKING:
    from snipebend.experts.switch_messages import GroupRecord
    from snipebend.transport.rpc import Method
    from snipebend.transport.rpc_clients import RpcClients

Query = TypeVar('Query')
Answer = TypeVar('Answer')

#: Seconds for one question to one control daemon.
ASK_TIMEOUT_S = 2.0

_NOBODY = 'no control daemon reaches a quorum'


class FenceReader:
    """Asks the control daemons in turn; each answers for a quorum."""

    def __init__(self, control: Sequence[str], clients: RpcClients) -> None:
        """Keep the control daemons' addresses."""
        self._control = tuple(control)
        self._clients = clients

    async def fence(self, group: str) -> Result[int, UnavailableError]:
        """Return the fence in force of a group."""
        answer = await self._ask(READ_FENCE, FenceQuery(group))
        return answer.map(lambda reply: reply.fence)

    async def record(
        self,
        group: str,
    ) -> Result[GroupRecord, UnavailableError]:
        """Return the committed switch record of a group."""
        answer = await self._ask(READ_MAP, MapQuery(group))
        return answer.map(lambda reply: reply.record)

    async def _ask(
        self,
        method: Method[Query, Answer],
        query: Query,
    ) -> Result[Answer, UnavailableError]:
        for peer in self._control:
            answer = await self._clients.call(
                peer,
                method,
                query,
                timeout=ASK_TIMEOUT_S,
            )
            if answer.is_ok():
                return Ok(answer.unwrap())
        return Err(UnavailableError(_NOBODY, step=method.path))
