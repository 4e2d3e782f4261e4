"""The agent's HTTP interface: passes attempts on to the one upstream."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Mapping
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
    largest_body,
)
from snipebend.transport.crash_witness import CrashWitness
from snipebend.transport.engine_calls import find_engine_calls
from snipebend.transport.configuration_follower import ConfigurationFollower
from snipebend.transport.frames import (
    MEDIA_FRAMES,
    Accepted,
    Broken,
    Declined,
    Frame,
    encode_frame,
)
from snipebend.transport.kept_answer import AnswerKeeper, Ending
from snipebend.transport.meters import AgentMeters
from snipebend.transport.agent_methods import SEAL
from snipebend.transport.problems import (
    FINGERPRINT_HEADER,
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


#: Answers up to this many bytes are kept before a configuration is known.
_ANSWER_BYTES = 262_144
_MS_PER_S = 1000

_NO_TICKET = Problem(
    HTTPStatus.BAD_REQUEST,
    'No ticket',
    'an agent takes attempts from entries only',
    field=TICKET_HEADER,
)


class UpstreamRelay(Service):
    """Guards the upstream: admits attempts, runs them and answers seals."""

    def __init__(
        self,
        name: str,
        cfg: AgentSettings,
        http: HttpServer,
        grpc: RpcServer,
    ) -> None:
        """Serve attempts on ``http`` and seals on ``grpc``."""
        super().__init__(name)
        self.running = 0
        self._cfg = cfg
        self._idle = asyncio.Event()
        self._idle.set()
        self._meters = AgentMeters()
        http.serve(build_sink_app(self._serve, largest_body))
        grpc.add(Endpoint(SEAL, self.seal))

    @property
    def incarnation(self) -> int:
        """Return the number of this life of the agent."""
        return self._guard.incarnation

    async def start(self, registry: Registry) -> None:
        """Begin a new life, which knows of no attempts."""
        self._clock = registry.clock
        self._witness = registry.find('witness', CrashWitness)
        self._calls = find_engine_calls(registry, self._cfg.upstream)
        self._configuration = registry.find(
            'configuration',
            ConfigurationFollower,
        )
        self._guard = AttemptGuard(
            int(registry.clock.wall() * _MS_PER_S),
            GuardLimits(self._cfg.upstream.max_running),
        )

    async def drain(self) -> None:
        """Refuse new attempts and wait for those that run.

        The listener stays for the grace period, so that entries that haven't
        heard yet get the refusal, which proves that nothing ran.
        """
        self._guard.leave()
        await asyncio.sleep(self._cfg.listen.grace_s)
        await self._idle.wait()

    async def seal(self, req: SealRequest) -> SealReply:
        """Tell what became of an attempt, and bar it if it is unseen."""
        reply = self._guard.seal(req, self._clock.wall())
        logger.info(
            'event=sealed request={} attempt={} verdict={}',
            req.request_id,
            req.attempt,
            reply.verdict.value,
        )
        return reply

    def dump(self) -> Mapping[str, object]:
        """Return the load."""
        return {'running': self.running, 'incarnation': self.incarnation}

    async def _serve(self, req: Request, resp: Response, **_: str) -> None:
        ticket = _read_ticket(req)
        if ticket is None:
            write_problem(resp, _NO_TICKET)
            return
        resp.content_type = MEDIA_FRAMES
        resp.stream = self._answer(req, ticket)

    async def _answer(
        self,
        req: Request,
        ticket: AttemptTicket,
    ) -> AsyncIterator[bytes]:
        """Admit the attempt once its answer is read, and run it.

        Not before: an answer that nobody reads would hold its slot for ever.
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
        """Yield the frames; whatever happens, the guard learns the end."""
        keeper = AnswerKeeper(self._answer_bytes(ticket))
        fingerprint = req.get_header(FINGERPRINT_HEADER) or ''
        self._begin()
        self._witness.begin(ticket, fingerprint)
        try:
            yield encode_frame(Accepted(ticket.request_id, ticket.attempt))
            async for frames in self._calls.build(req, ticket).frames():
                keeper.note(frames)
                if keeper.ending is Ending.UNSENT:
                    break
                if keeper.ending is Ending.DIED:
                    alone = self._witness.note_death(ticket, fingerprint)
                    frames = [_mark_alone(one, alone) for one in frames]
                yield b''.join(map(encode_frame, frames))
        finally:
            refused = self._end(ticket, keeper, fingerprint)
            self._log(req, ticket, keeper.ending.value)
        if refused is not None:
            yield encode_frame(Declined(ticket.attempt, refused.reason))

    def _begin(self) -> None:
        self.running += 1
        self._idle.clear()
        self._meters.begin()

    def _end(
        self,
        ticket: AttemptTicket,
        keeper: AnswerKeeper,
        fingerprint: str,
    ) -> Refused | None:
        self._witness.end(ticket, fingerprint)
        self._meters.end(keeper.ending.value, keeper.chunks)
        self.running -= 1
        if not self.running:
            self._idle.set()
        attempt_id = (ticket.request_id, ticket.attempt)
        match keeper.ending:
            case Ending.COMPLETE:
                self._guard.finish(*attempt_id, keeper.answer)
            case Ending.UNSENT:
                return self._guard.withdraw(*attempt_id)
            case _:
                self._guard.fail(*attempt_id)
        return None

    def _answer_bytes(self, ticket: AttemptTicket) -> int:
        if not ticket.keep_answer:
            return 0
        index = self._configuration.index
        return index.fleet.routing.answer_bytes if index else _ANSWER_BYTES

    def _log(self, req: Request, ticket: AttemptTicket, ending: str) -> None:
        # The entry logs each request: here only what didn't go well counts.
        level = 'DEBUG' if ending == Ending.COMPLETE.value else 'INFO'
        logger.log(
            level,
            'event=attempt request={} id={} step={} attempt={} peer={}',
            req.get_header(REQUEST_ID_HEADER),
            ticket.request_id,
            ending,
            ticket.attempt,
            self._cfg.upstream.address,
        )


def _mark_alone(frame: Frame, alone: bool) -> Frame:
    if isinstance(frame, Broken):
        return replace(frame, alone=alone)
    return frame


def _read_ticket(req: Request) -> AttemptTicket | None:
    try:
        return json.decode(
            req.get_header(TICKET_HEADER) or '',
            type=AttemptTicket,
        )
    except DecodeError:
        return None
