"""The agent's HTTP interface: forwards attempts to its upstream."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Iterable, Mapping
from contextlib import aclosing
from http import HTTPStatus
from typing import TYPE_CHECKING

from loguru import logger
from msgspec import DecodeError, json
from msgspec.structs import replace

from snipebend.delivery.guard import AttemptGuard, GuardLimits, Refused
from snipebend.delivery.messages import AttemptTicket, SealReply, SealRequest
from snipebend.kernel.service import Service
from snipebend.transport.asgi import (
    build_sink_app,
    default_body_limit,
)
from snipebend.transport.crash_reporter import CrashReporter
from snipebend.transport.engine_call_factory import create_engine_call_factory
from snipebend.transport.configuration_follower import ConfigurationFollower
from snipebend.transport.frames import (
    MEDIA_FRAMES,
    Accepted,
    Broken,
    Declined,
    Frame,
    encode_frame,
)
from snipebend.transport.response_recorder import (
    ResponseRecorder,
    UpstreamOutcome,
)
from snipebend.transport.meters import AgentMeters
from snipebend.transport.agent_methods import SEAL
from snipebend.transport.problems import (
    FINGERPRINT_HEADER,
    PARTS_HEADER,
    REQUEST_ID_HEADER,
    TICKET_HEADER,
    Problem,
    write_problem,
)
from snipebend.transport.rpc_server import Endpoint, RpcServer

if TYPE_CHECKING:
    from falcon.asgi import Request, Response

    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import AgentSettings
    from snipebend.transport.http_server import HttpServer


#: Limit in bytes of stored responses until a configuration is received.
_DEFAULT_STORED_BYTES = 262_144
_MS_PER_S = 1000

_NO_TICKET = Problem(
    HTTPStatus.BAD_REQUEST,
    'No ticket',
    'an agent takes attempts from entries only',
    field=TICKET_HEADER,
)


class UpstreamRelay(Service):
    """Guards the upstream: admits and runs attempts, responds to seals."""

    def __init__(
        self,
        name: str,
        cfg: AgentSettings,
        http: HttpServer,
        grpc: RpcServer,
    ) -> None:
        """Initialize; serves attempts on ``http`` and seals on ``grpc``."""
        super().__init__(name)
        self.running = 0
        self._cfg = cfg
        self._idle = asyncio.Event()
        self._idle.set()
        self._meters = AgentMeters()
        http.serve(build_sink_app(self._serve, default_body_limit))
        grpc.add(Endpoint(SEAL, self.seal))

    @property
    def incarnation(self) -> int:
        """Return the incarnation of the agent."""
        return self._guard.incarnation

    async def start(self, registry: Registry) -> None:
        """Begin a new incarnation, without attempts."""
        self._clock = registry.clock
        self._crash_reporter = registry.find('witness', CrashReporter)
        self._call_factory = create_engine_call_factory(
            registry, self._cfg.upstream
        )
        self._configuration = registry.find(
            'configuration',
            ConfigurationFollower,
        )
        self._guard = AttemptGuard(
            int(registry.clock.wall() * _MS_PER_S),
            GuardLimits(self._cfg.upstream.max_running),
        )

    async def drain(self) -> None:
        """Refuse new attempts and wait for the running ones.

        The listener stays open for the grace period, so that entries that have
        not received the announcement get the refusal, which proves that
        nothing ran.
        """
        self._guard.leave()
        await asyncio.sleep(self._cfg.listen.grace_s)
        await self._idle.wait()

    async def seal(self, req: SealRequest) -> SealReply:
        """Return the verdict on an attempt; bar it if it has not arrived."""
        reply = self._guard.seal(req, self._clock.wall())
        logger.info(
            'event=sealed request={} attempt={} verdict={}',
            req.request_id,
            req.attempt,
            reply.verdict.value,
        )
        return reply

    def dump(self) -> Mapping[str, object]:
        """Return the running attempts and the incarnation."""
        return {'running': self.running, 'incarnation': self.incarnation}

    async def _serve(self, req: Request, resp: Response, **_: str) -> None:
        ticket = _read_ticket(req)
        if ticket is None:
            write_problem(resp, _NO_TICKET)
            return
        resp.content_type = MEDIA_FRAMES
        resp.stream = self._respond(req, ticket)

    async def _respond(
        self,
        req: Request,
        ticket: AttemptTicket,
    ) -> AsyncIterator[bytes]:
        """Admit and run the attempt when its response is first read.

        Admitted earlier, a response that is never read would hold its slot
        for ever.
        """
        admission = self._guard.admit(ticket, self._clock.wall())
        if isinstance(admission, Refused):
            self._log(req, ticket, admission.reason.value)
            yield encode_frame(Declined(ticket.attempt, admission.reason))
            return
        async with aclosing(self._run(req, ticket)) as running:
            async for frames in running:
                yield frames

    async def _run(
        self,
        req: Request,
        ticket: AttemptTicket,
    ) -> AsyncGenerator[bytes, None]:
        """Yield the frames; always report the end to the guard."""
        recorder = ResponseRecorder(self._max_stored_bytes(ticket))
        self._begin()
        self._crash_reporter.begin(
            ticket,
            req.get_header(FINGERPRINT_HEADER) or '',
            _read_part_keys(req),
        )
        try:
            yield encode_frame(Accepted(ticket.request_id, ticket.attempt))
            async for frames in self._call_factory.build(req, ticket).frames():
                recorder.record(frames)
                if recorder.outcome is UpstreamOutcome.UNSENT:
                    break
                if recorder.outcome is UpstreamOutcome.DIED:
                    alone = self._crash_reporter.record_crash(ticket)
                    frames = [_mark_alone(one, alone) for one in frames]
                yield b''.join(map(encode_frame, frames))
        finally:
            refused = self._end(ticket, recorder)
            self._log(req, ticket, recorder.outcome.value)
        if refused is not None:
            yield encode_frame(Declined(ticket.attempt, refused.reason))

    def _begin(self) -> None:
        self.running += 1
        self._idle.clear()
        self._meters.begin()

    def _end(
        self,
        ticket: AttemptTicket,
        recorder: ResponseRecorder,
    ) -> Refused | None:
        self._crash_reporter.end(ticket)
        self._meters.end(recorder.outcome.value, recorder.chunks)
        self.running -= 1
        if not self.running:
            self._idle.set()
        attempt_id = (ticket.request_id, ticket.attempt)
        match recorder.outcome:
            case UpstreamOutcome.COMPLETE:
                self._guard.finish(*attempt_id, recorder.answer)
            case UpstreamOutcome.UNSENT:
                return self._guard.withdraw(*attempt_id)
            case _:
                self._guard.fail(*attempt_id)
        return None

    def _max_stored_bytes(self, ticket: AttemptTicket) -> int:
        if not ticket.keep_answer:
            return 0
        index = self._configuration.index
        return (
            index.fleet.routing.answer_bytes if index else _DEFAULT_STORED_BYTES
        )

    def _log(self, req: Request, ticket: AttemptTicket, outcome: str) -> None:
        # The entry logs each request, so complete attempts are only debug
        # messages here.
        level = 'DEBUG' if outcome == UpstreamOutcome.COMPLETE.value else 'INFO'
        logger.log(
            level,
            'event=attempt request={} id={} step={} attempt={} peer={}',
            req.get_header(REQUEST_ID_HEADER),
            ticket.request_id,
            outcome,
            ticket.attempt,
            self._cfg.upstream.address,
        )


def _mark_alone(frame: Frame, alone: bool) -> Frame:
    if isinstance(frame, Broken):
        return replace(frame, alone=alone)
    return frame


def _read_part_keys(req: Request) -> Iterable[str]:
    return filter(None, (req.get_header(PARTS_HEADER) or '').split(','))


def _read_ticket(req: Request) -> AttemptTicket | None:
    try:
        return json.decode(
            req.get_header(TICKET_HEADER) or '',
            type=AttemptTicket,
        )
    except (DecodeError, RecursionError):
        return None
