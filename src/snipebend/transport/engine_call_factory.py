"""Builds the calls of the upstream for admitted attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.transport.asgi import BODY_KEY, CONNECTION_KEY, Connection
from snipebend.transport.engine_call import EngineCall
from snipebend.transport.forward import HttpClient, OutgoingRequest, end_to_end
from snipebend.transport.upstream_probe import UpstreamProbe

if TYPE_CHECKING:
    from falcon.asgi import Request

    from snipebend.delivery.messages import AttemptTicket
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import UpstreamSection

#: Header with the number of the chunk at which an engine resumes a response.
RESUME_HEADER = 'x-resume-from'


class EngineCallFactory(NamedTuple):
    """Builds calls from the settings and services that they share."""

    cfg: UpstreamSection
    client: HttpClient
    probe: UpstreamProbe

    def build(self, req: Request, ticket: AttemptTicket) -> EngineCall:
        """Build the call without sending it."""
        headers = end_to_end(req.headers)
        if ticket.resume_from:
            headers[RESUME_HEADER] = str(ticket.resume_from)
        outgoing = OutgoingRequest(
            req.method,
            self.cfg.address,
            req.relative_uri,
            headers,
            req.scope[BODY_KEY],
        )
        # Responses to keep are completed even if the requester disconnects.
        requester = req.scope[CONNECTION_KEY]
        return EngineCall(
            self.client,
            outgoing,
            ticket,
            self.cfg.beat_s,
            Connection() if ticket.keep_answer else requester,
            self.probe.is_down,
        )


def create_engine_call_factory(
    registry: Registry, cfg: UpstreamSection
) -> EngineCallFactory:
    """Build a factory from the services of the agent."""
    return EngineCallFactory(
        cfg,
        registry.find('client', HttpClient),
        registry.find('probe', UpstreamProbe),
    )
