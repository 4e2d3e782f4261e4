"""HTTP endpoints by which operators without gRPC evacuate data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING

import falcon

from snipebend.state.evacuations import EvacuationOutcome, OrderRequest
from snipebend.transport.caller_watch import watch_caller
from snipebend.transport.outer_answers import (
    RESPONSE_TIMEOUT_S,
    refuse,
    respond,
    with_timeout,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from falcon.asgi import Request, Response
    from snipebend.state.evacuations import EvacuationReply
    from snipebend.transport.evacuation_service import EvacuationService


class EvacuationEndpoint:
    """Takes orders to evacuate data centres, or those to end that."""

    def __init__(
        self, evacuations: EvacuationService, actions: Mapping[str, bool]
    ) -> None:
        """Keep which actions evacuate (True), and which end that (False)."""
        self._evacuations = evacuations
        self._actions = actions

    async def on_post(
        self, req: Request, resp: Response, name: str, action: str
    ) -> None:
        """Acknowledge an order once it is committed."""
        await req.stream.exhaust()
        evacuate = self._actions.get(action)
        if evacuate is None:
            refuse(resp, falcon.HTTP_404, f'{action!r} is not an action')
            return
        order = OrderRequest(name, evacuate, req.remote_addr)
        async with watch_caller(req.scope) as has_left:
            reply = await with_timeout(
                RESPONSE_TIMEOUT_S, self._evacuations.order(order, has_left)
            )
        match reply.map(_outcome_of).unwrap_or(None):
            case EvacuationOutcome.UNKNOWN:
                refuse(resp, falcon.HTTP_404, f'{name!r} is not known')
            case EvacuationOutcome.OUTDATED:
                reason = 'a later order was acknowledged; send it again'
                refuse(resp, falcon.HTTP_503, reason)
            case _:
                respond(resp, reply)


def _outcome_of(reply: EvacuationReply) -> EvacuationOutcome:
    return reply.outcome
