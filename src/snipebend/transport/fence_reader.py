"""Reads fences and expert map records from any control daemon."""

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

#: Timeout in seconds of a query to one control daemon.
QUERY_TIMEOUT_S = 2.0

_NO_QUORUM = 'no control daemon replied with a quorum'


class FenceReader:
    """Queries the control daemons in turn.

    Each reply is linearizable: the daemon confirms it with a quorum.
    """

    def __init__(self, control: Sequence[str], clients: RpcClients) -> None:
        """Keep the control daemons' addresses."""
        self._control = tuple(control)
        self._clients = clients

    async def fence(self, group: str) -> Result[int, UnavailableError]:
        """Return the current fence of a group."""
        answer = await self._query(READ_FENCE, FenceQuery(group))
        return answer.map(lambda reply: reply.fence)

    async def record(
        self,
        group: str,
    ) -> Result[GroupRecord, UnavailableError]:
        """Return the committed switch record of a group."""
        answer = await self._query(READ_MAP, MapQuery(group))
        return answer.map(lambda reply: reply.record)

    async def _query(
        self,
        method: Method[Query, Answer],
        query: Query,
    ) -> Result[Answer, UnavailableError]:
        for peer in self._control:
            answer = await self._clients.call(
                peer,
                method,
                query,
                timeout=QUERY_TIMEOUT_S,
            )
            if answer.is_ok():
                return Ok(answer.unwrap())
        return Err(UnavailableError(_NO_QUORUM, step=method.path))
