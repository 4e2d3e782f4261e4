"""HTTP endpoints of a control daemon for upstreams and operators without gRPC.

Paths and the formats of bodies belong to whoever speaks them: an adapter adds
the endpoints to its paths and decodes the bodies.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import falcon
from loguru import logger
from result import Result

from snipebend.errors.hierarchy import InvalidInputError
from snipebend.hosts.model import HostTable
from snipebend.state.documents import PutRequest
from snipebend.state.evacuations import EvacuationOutcome, OrderRequest
from snipebend.state.roster import UpstreamRecord
from snipebend.state.roster_checks import MAX_NAME_CHARS
from snipebend.state.warmth import WarmthHearing
from snipebend.transport.caller_watch import watch_caller
from snipebend.transport.http_answers import (
    RESPONSE_TIMEOUT_S,
    refuse,
    respond,
    with_timeout,
)
from snipebend.transport.limited_body import BodyFault, read_body

if TYPE_CHECKING:
    from falcon.asgi import Request, Response
    from snipebend.state.evacuations import EvacuationReply
    from snipebend.transport.evacuation_service import EvacuationService
    from snipebend.transport.host_service import HostService

#: A configuration can be megabytes long; its sender waits longer for it.
PUT_TIMEOUT_S = 2.0

#: A control daemon holds some copies of it while it checks and replicates it.
MAX_DOCUMENT_BYTES = 8_388_608

#: Limit of an announcement in bytes: ten times one that names a model.
MAX_ANNOUNCEMENT_BYTES = 16_384

#: Decodes an announcement of the named upstream.
ReadRecord = Callable[[str, bytes], Result[UpstreamRecord, InvalidInputError]]
#: Decodes how long the named upstream stays cold, from a valid announcement.
ReadWarmth = Callable[[str, bytes], WarmthHearing | None]
#: Decodes and validates a document.
ReadTable = Callable[[bytes], Result[HostTable, InvalidInputError]]


class Announcements:
    """Records what the upstream ``identity`` of the path announces."""

    def __init__(
        self, hosts: HostService, read: ReadRecord, read_warmth: ReadWarmth
    ) -> None:
        """Keep the decoders of announcements."""
        self._hosts = hosts
        self._read = read
        self._read_warmth = read_warmth

    async def on_post(
        self, req: Request, resp: Response, identity: str
    ) -> None:
        """Acknowledge an announcement once it is committed."""
        body = await read_body(req, MAX_ANNOUNCEMENT_BYTES)
        if isinstance(body, BodyFault):
            refuse(resp, *body)
            return
        decoded = self._read(identity, body)
        if decoded.is_err():
            reason = str(decoded.unwrap_err())
            line = 'event=record_unreadable upstream={!r} error={!r}'
            logger.warning(line, identity[:MAX_NAME_CHARS], reason)
            refuse(resp, falcon.HTTP_400, reason)
            return
        record = decoded.unwrap()
        self._hosts.warmth.hear(record, self._read_warmth(identity, body))
        recording = self._hosts.record(record)
        respond(resp, await with_timeout(RESPONSE_TIMEOUT_S, recording))


class DocumentPut:
    """Puts a document in force."""

    def __init__(self, hosts: HostService, read: ReadTable) -> None:
        """Keep the decoder of documents."""
        self._hosts = hosts
        self._read = read

    async def on_post(self, req: Request, resp: Response) -> None:
        """Acknowledge a document once it is committed."""
        body = await read_body(req, MAX_DOCUMENT_BYTES)
        if isinstance(body, BodyFault):
            refuse(resp, *body)
            return
        table = self._read(body)
        if table.is_err():
            refuse(resp, falcon.HTTP_400, str(table.unwrap_err()))
            return
        putting = self._hosts.put(PutRequest(table.unwrap().number, body))
        respond(resp, await with_timeout(PUT_TIMEOUT_S, putting))


class DocumentRead:
    """Returns the newest document as it was put."""

    def __init__(self, hosts: HostService) -> None:
        """Keep the service that stores documents."""
        self._hosts = hosts

    async def on_get(self, req: Request, resp: Response) -> None:
        """Return the document; 503 while the newest isn't known here."""
        read = await with_timeout(RESPONSE_TIMEOUT_S, self._hosts.read())
        if read.is_err() or not read.unwrap().number:
            refuse(resp, falcon.HTTP_503, 'the newest is not known here')
            return
        resp.data = read.unwrap().body


class EvacuationOrders:
    """Evacuates the ``data_center`` of the path, or ends its evacuation."""

    def __init__(
        self, evacuations: EvacuationService, *, evacuate: bool
    ) -> None:
        """Keep whether to evacuate, or to end an evacuation."""
        self._evacuations = evacuations
        self._evacuate = evacuate

    async def on_post(
        self, req: Request, resp: Response, data_center: str
    ) -> None:
        """Acknowledge an order once it is committed."""
        await req.stream.exhaust()
        order = OrderRequest(data_center, self._evacuate, req.remote_addr)
        async with watch_caller(req.scope) as has_left:
            reply = await with_timeout(
                RESPONSE_TIMEOUT_S, self._evacuations.order(order, has_left)
            )
        match reply.map(_outcome_of).unwrap_or(None):
            case EvacuationOutcome.UNKNOWN:
                reason = f'data centre {data_center!r} is not known'
                refuse(resp, falcon.HTTP_404, reason)
            case EvacuationOutcome.OUTDATED:
                reason = 'a later order was acknowledged; send it again'
                refuse(resp, falcon.HTTP_503, reason)
            case _:
                respond(resp, reply)


def _outcome_of(reply: EvacuationReply) -> EvacuationOutcome:
    return reply.outcome
