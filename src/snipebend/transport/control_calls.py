"""An entry's questions to control daemons and to agents."""

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

#: Seconds for one control daemon to answer a claim or a settlement.
CONTROL_TIMEOUT_S = 2.0

#: Seconds for an agent to answer a seal, with the new connection's set-up.
SEAL_TIMEOUT_S = 1.5


class ControlCalls(Service):
    """Claims and settles through any control daemon, seals at agents.

    A claim and a settlement name their attempt, so that asking a second
    daemon after a lost answer of the first changes nothing.
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
        return await self._ask_any(CLAIM, req)

    async def settle(
        self,
        req: SettleRequest,
    ) -> Result[SettleReply, UnavailableError]:
        """Tell how an attempt ended."""
        return await self._ask_any(SETTLE, req)

    async def report_crash(
        self,
        req: CrashReport,
    ) -> Result[SuspectList, UnavailableError]:
        """Tell of an upstream's death and of what ran there."""
        return await self._ask_any(REPORT_CRASH, req)

    async def suspects(
        self,
        req: SuspectQuery,
    ) -> Result[SuspectList, UnavailableError]:
        """Ask for the requests that are suspected of killing upstreams."""
        return await self._ask_any(SUSPECTS, req)

    async def clear_suspect(
        self,
        req: SuspectCleared,
    ) -> Result[SuspectList, UnavailableError]:
        """Tell that a suspect was served."""
        return await self._ask_any(CLEAR_SUSPECT, req)

    async def take_fence(
        self,
        req: FenceRequest,
    ) -> Result[FenceReply, UnavailableError]:
        """Take or release a lease; asking twice is the same holder's."""
        return await self._ask_any(TAKE_FENCE, req)

    async def seal(
        self,
        peer: str,
        req: SealRequest,
    ) -> Result[SealReply, UnavailableError]:
        """Ask an agent over a new connection what became of an attempt."""
        clients = RpcClients()
        try:
            return await clients.call(peer, SEAL, req, timeout=SEAL_TIMEOUT_S)
        finally:
            clients.close()

    async def _ask_any(
        self,
        method: Method[Request, Reply],
        req: Request,
    ) -> Result[Reply, UnavailableError]:
        failure = UnavailableError('no control daemon', step=method.path)
        for peer in tuple(self._control):
            answer = await self._clients.call(
                peer,
                method,
                req,
                timeout=CONTROL_TIMEOUT_S,
            )
            if answer.is_ok():
                self._prefer(peer)
                return answer
            failure = answer.unwrap_err()
            logger.warning('event=control_failed reason={!r}', str(failure))
        return Err(failure)

    def _prefer(self, peer: str) -> None:
        """Ask the one first that answered last."""
        if self._control[0] != peer:
            self._control.remove(peer)
            self._control.insert(0, peer)
