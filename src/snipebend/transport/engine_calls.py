"""Turns an admitted attempt into a call of the upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.transport.asgi import BODY_KEY, CONNECTION_KEY, Connection
from snipebend.transport.engine_call import EngineCall
from snipebend.transport.forward import HttpClient, Outgoing, end_to_end
from snipebend.transport.upstream_probe import UpstreamProbe

if TYPE_CHECKING:
    from falcon.asgi import Request

    from snipebend.delivery.messages import AttemptTicket
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import UpstreamSection

#: Names the chunk at which an engine takes an answer up again.
RESUME_HEADER = 'x-resume-from'


class EngineCalls(NamedTuple):
    """What all calls of one upstream share."""

    cfg: UpstreamSection
    client: HttpClient
    probe: UpstreamProbe

    def build(self, req: Request, ticket: AttemptTicket) -> EngineCall:
        """Build the call; it isn't sent yet."""
        headers = end_to_end(req.headers)
        if ticket.resume_from:
            headers[RESUME_HEADER] = str(ticket.resume_from)
        outgoing = Outgoing(
            req.method,
            self.cfg.address,
            req.relative_uri,
            headers,
            req.scope[BODY_KEY],
        )
        # Kept answers are made to their end, whoever still waits.
        asker = req.scope[CONNECTION_KEY]
        return EngineCall(
            self.client,
            outgoing,
            ticket,
            self.cfg.beat_s,
            Connection() if ticket.keep_answer else asker,
            self.probe.is_down,
        )


def find_engine_calls(registry: Registry, cfg: UpstreamSection) -> EngineCalls:
    """Find what calls need among the agent's services."""
    return EngineCalls(
        cfg,
        registry.find('client', HttpClient),
        registry.find('probe', UpstreamProbe),
    )
