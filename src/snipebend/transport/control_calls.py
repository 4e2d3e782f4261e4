"""Calls of entries and agents to control daemons, and of entries to agents."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, TypeVar

from loguru import logger
from result import Err, Result

from snipebend.errors.hierarchy import UnavailableError
from snipebend.kernel.service import Service
from snipebend.transport.agent_methods import SEAL
from snipebend.transport.methods import (
    CLAIM,
    CLEAR_SUSPECT,
    REPORT_CRASH,
    SETTLE,
    SUSPECTS,
    TAKE_FENCE,
)
from snipebend.transport.rpc import Method
from snipebend.transport.rpc_clients import RpcClients

if TYPE_CHECKING:
    from snipebend.delivery.messages import SealReply, SealRequest
    from snipebend.state.claims import (
        ClaimReply,
        ClaimRequest,
        SettleReply,
        SettleRequest,
    )
    from snipebend.state.crashes import (
        CrashReport,
        SuspectCleared,
        SuspectList,
        SuspectQuery,
    )
    from snipebend.state.fences import FenceReply, FenceRequest

Request = TypeVar('Request')
Reply = TypeVar('Reply')

#: Timeout in seconds of a call to one control daemon.
CONTROL_TIMEOUT_S = 2.0

#: Timeout in seconds of a seal at an agent, including a new connection.
SEAL_TIMEOUT_S = 1.5


class ControlCalls(Service):
    """Calls any available control daemon, and seals attempts at agents.

    Claims and settlements identify their attempt, which makes them idempotent:
    if the reply of one daemon is lost, they are sent to the next.
    """

    def __init__(
        self,
        name: str,
        control: Sequence[str],
        clients: RpcClients,
    ) -> None:
        """Keep the control daemons' addresses."""
        super().__init__(name)
        self._control = list(control)
        self._clients = clients

    async def claim(
        self,
        req: ClaimRequest,
    ) -> Result[ClaimReply, UnavailableError]:
        """Claim a key for one attempt."""
        return await self._call_any(CLAIM, req)

    async def settle(
        self,
        req: SettleRequest,
    ) -> Result[SettleReply, UnavailableError]:
        """Report the outcome of an attempt."""
        return await self._call_any(SETTLE, req)

    async def report_crash(
        self,
        req: CrashReport,
    ) -> Result[SuspectList, UnavailableError]:
        """Report the crash of an upstream and the requests that ran there."""
        return await self._call_any(REPORT_CRASH, req)

    async def suspects(
        self,
        req: SuspectQuery,
    ) -> Result[SuspectList, UnavailableError]:
        """Return the requests that are suspected of crashing upstreams."""
        return await self._call_any(SUSPECTS, req)

    async def clear_suspect(
        self,
        req: SuspectCleared,
    ) -> Result[SuspectList, UnavailableError]:
        """Report that a suspected request was served without a crash."""
        return await self._call_any(CLEAR_SUSPECT, req)

    async def take_fence(
        self,
        req: FenceRequest,
    ) -> Result[FenceReply, UnavailableError]:
        """Take or release a lease; safe to retry for the same holder."""
        return await self._call_any(TAKE_FENCE, req)

    async def seal(
        self,
        peer: str,
        req: SealRequest,
    ) -> Result[SealReply, UnavailableError]:
        """Seal an attempt at an agent and return its state.

        The call uses a new connection.
        """
        clients = RpcClients()
        try:
            return await clients.call(peer, SEAL, req, timeout=SEAL_TIMEOUT_S)
        finally:
            clients.close()

    async def _call_any(
        self,
        method: Method[Request, Reply],
        req: Request,
    ) -> Result[Reply, UnavailableError]:
        failure = UnavailableError(
            'no control daemon is configured', step=method.path
        )
        for peer in tuple(self._control):
            reply = await self._clients.call(
                peer,
                method,
                req,
                timeout=CONTROL_TIMEOUT_S,
            )
            if reply.is_ok():
                self._prefer(peer)
                return reply
            failure = reply.unwrap_err()
            logger.warning('event=control_failed reason={!r}', str(failure))
        return Err(failure)

    def _prefer(self, peer: str) -> None:
        """Call this daemon first from now on, since it has replied."""
        if self._control[0] != peer:
            self._control.remove(peer)
            self._control.insert(0, peer)
