"""HTTP resources that generate and cancel completions."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from falcon import HTTPBadRequest, HTTPNotFound
from msgspec import json

from snipebend.standin.batcher import Submission, Token, count_tokens
from snipebend.standin.completions import (
    Answer,
    Chunk,
    CompletionBody,
    Usage,
)
from snipebend.standin.http import read_body, send_json, wait_for_disconnect

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from falcon.asgi import Request, Response

    from snipebend.standin.completions import Route
    from snipebend.standin.engine import Engine, Stream

CANCELLED_STATUS = '499 Cancelled'
CANCELLED_EVENT = b'event: error\ndata: {"error":"cancelled"}\n\n'
DONE_EVENT = b'data: [DONE]\n\n'


class Generation:
    """``POST`` on a completion route.

    A cancelled stream ends with an ``error`` event and without ``[DONE]``; a
    cancelled request without streaming gets the status 499.
    """

    def __init__(self, engine: Engine, route: Route) -> None:
        """Serve a completion route from the engine."""
        self._engine = engine
        self._route = route
        self._generated_ids = count(1)

    async def on_post(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Generate a completion for the body.

        The headers ``x-request-id``, ``x-resume-from`` and ``idempotency-key``
        give the request's id, its first token and its key.
        """
        body, _ = await read_body(req, CompletionBody)
        submission = self._read_submission(req, body)
        key = req.get_header('idempotency-key') or ''
        stream = self._engine.submit(submission, key)
        watcher = asyncio.create_task(self._cancel_on_disconnect(req, stream))
        if body.stream:
            resp.content_type = 'text/event-stream'
            resp.stream = self._stream_events(stream, watcher)
            return
        try:
            await self._send_complete_response(resp, stream)
        finally:
            watcher.cancel()

    def _read_submission(
        self,
        req: Request,
        body: CompletionBody,
    ) -> Submission:
        if body.model != self._engine.cfg.model:
            raise HTTPNotFound(title='unknown model')
        resume_from = req.get_header_as_int('x-resume-from') or 0
        if not 0 <= resume_from < body.max_tokens:
            raise HTTPBadRequest(title='no token left to generate')
        return Submission(
            request_id=req.get_header('x-request-id') or self._make_id(),
            prompt=body.full_prompt,
            max_tokens=body.max_tokens,
            priority=body.priority,
            resume_from=resume_from,
        )

    def _make_id(self) -> str:
        return f'{self._route.answer_object}-{next(self._generated_ids)}'

    async def _send_complete_response(
        self,
        resp: Response,
        stream: Stream,
    ) -> None:
        tokens = [token async for token in _iterate(stream)]
        if not (tokens and tokens[-1].last):
            resp.status = CANCELLED_STATUS
            send_json(resp, {'error': 'cancelled'})
            return
        submission = stream.sequence.submission
        text = ''.join(token.text for token in tokens)
        prompt_tokens = count_tokens(submission.prompt)
        answer = Answer(
            submission.request_id,
            self._route.answer_object,
            self._engine.cfg.model,
            (self._route.answer_choice(text),),
            Usage(
                prompt_tokens,
                len(tokens),
                prompt_tokens + len(tokens),
                stream.sequence.cached_tokens,
            ),
        )
        send_json(resp, answer)

    async def _stream_events(
        self,
        stream: Stream,
        watcher: asyncio.Task[None],
    ) -> AsyncIterator[bytes]:
        try:
            async for token in _iterate(stream):
                yield self._encode_chunk(stream, token)
                if token.last:
                    yield DONE_EVENT
                    return
            yield CANCELLED_EVENT
        finally:
            watcher.cancel()
            self._engine.cancel_stream(stream)

    def _encode_chunk(self, stream: Stream, token: Token) -> bytes:
        chunk = Chunk(
            stream.sequence.submission.request_id,
            self._route.chunk_object,
            self._engine.cfg.model,
            token.seq,
            (self._route.chunk_choice(token.text, last=token.last),),
        )
        return b'data: %b\n\n' % json.encode(chunk)

    async def _cancel_on_disconnect(
        self,
        req: Request,
        stream: Stream,
    ) -> None:
        await wait_for_disconnect(req)
        self._engine.cancel_stream(stream)


class RequestById:
    """``DELETE /v1/requests/{request_id}``: cancel all its attempts."""

    def __init__(self, engine: Engine) -> None:
        """Cancel requests of the given engine."""
        self._engine = engine

    async def on_delete(
        self,
        req: Request,
        resp: Response,
        request_id: str,
    ) -> None:
        """Respond with the number of attempts that this call cancelled."""
        send_json(resp, {'cancelled': self._engine.cancel(request_id)})


async def _iterate(stream: Stream) -> AsyncIterator[Token]:
    """Yield tokens until the last one or until the stream is cancelled."""
    while True:
        match await stream.tokens.get():
            case Token() as token:
                yield token
                if token.last:
                    return
            case _:
                return
