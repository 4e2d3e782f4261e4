"""Calls between our own processes over gRPC: methods, a server, clients."""

from __future__ import annotations

import asyncio
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    Mapping,
)
from typing import Any, Generic, NamedTuple, TypeVar

from grpclib.client import (
    Channel,
    StreamUnaryMethod,
    UnaryStreamMethod,
    UnaryUnaryMethod,
)
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server
from loguru import logger
from result import Err, Ok, Result

from snipebend.errors.hierarchy import UnavailableError
from snipebend.kernel.registry import Registry
from snipebend.kernel.service import Service
from snipebend.transport.codec import MessageCodec

Request = TypeVar('Request')
Reply = TypeVar('Reply')

#: What a broken or silent connection raises on the caller's side.
CALL_FAILURES = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)

#: Keep-alive pings find connections that have gone silent, in seconds.
PING_EVERY_S = 5.0
PING_TIMEOUT_S = 3.0


class Method(NamedTuple, Generic[Request, Reply]):
    """One call: its path and the types that it carries."""

    path: str
    request_type: type[Request]
    reply_type: type[Reply]
    streams_replies: bool = False
    streams_requests: bool = False


UnaryHandler = Callable[[Any], Awaitable[Any]]
StreamHandler = Callable[[Any], AsyncIterator[Any]]
FeedHandler = Callable[[AsyncIterator[Any]], Awaitable[Any]]


class Endpoint(NamedTuple):
    """A method together with the function that answers it."""

    method: Method[Any, Any]
    handler: UnaryHandler | StreamHandler | FeedHandler


class _Table:
    """What ``grpclib`` asks of a service: a mapping of paths to handlers."""

    def __init__(self, endpoints: tuple[Endpoint, ...]) -> None:
        self._endpoints = endpoints

    def __mapping__(self) -> Mapping[str, Handler]:
        return {
            endpoint.method.path: _to_handler(endpoint)
            for endpoint in self._endpoints
        }


def _to_handler(endpoint: Endpoint) -> Handler:
    method = endpoint.method
    if method.streams_replies:
        return Handler(
            _answer_stream(endpoint),
            Cardinality.UNARY_STREAM,
            method.request_type,
            method.reply_type,
        )
    if method.streams_requests:
        return Handler(
            _answer_feed(endpoint),
            Cardinality.STREAM_UNARY,
            method.request_type,
            method.reply_type,
        )
    return Handler(
        _answer_unary(endpoint),
        Cardinality.UNARY_UNARY,
        method.request_type,
        method.reply_type,
    )


def _answer_unary(endpoint: Endpoint) -> Callable[[Any], Awaitable[None]]:
    async def answer(stream: Any) -> None:
        req = await stream.recv_message()
        reply: Any = await endpoint.handler(req)  # type: ignore[misc]
        await stream.send_message(reply)

    return answer


def _answer_feed(endpoint: Endpoint) -> Callable[[Any], Awaitable[None]]:
    async def answer(stream: Any) -> None:
        handler: Any = endpoint.handler
        await stream.send_message(await handler(stream))

    return answer


def _answer_stream(endpoint: Endpoint) -> Callable[[Any], Awaitable[None]]:
    async def answer(stream: Any) -> None:
        req = await stream.recv_message()
        replies: Any = endpoint.handler(req)
        async for reply in replies:
            await stream.send_message(reply)

    return answer


class RpcServer(Service):
    """Listens on one address and answers the registered endpoints."""

    def __init__(self, name: str, host: str, port: int) -> None:
        """Keep the address; port 0 lets the system choose."""
        super().__init__(name)
        self._host = host
        self._port = port
        self._endpoints: list[Endpoint] = []
        self._server: Server | None = None

    @property
    def address(self) -> str:
        """Return ``host:port`` once the server listens."""
        return f'{self._host}:{self._port}'

    def add(self, *endpoints: Endpoint) -> None:
        """Add endpoints; only before the start."""
        self._endpoints.extend(endpoints)

    async def start(self, registry: Registry) -> None:
        """Listen."""
        self._server = Server(
            [_Table(tuple(self._endpoints))],
            codec=MessageCodec(),
            config=_configuration(),
        )
        await self._server.start(self._host, self._port)
        sockets = self._server._server.sockets  # type: ignore[union-attr]
        self._port = sockets[0].getsockname()[1]
        logger.info('event=listening proto=grpc address={}', self.address)

    async def stop(self) -> None:
        """Close the listener and the connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def dump(self) -> Mapping[str, object]:
        """Return the address and the paths."""
        paths = [endpoint.method.path for endpoint in self._endpoints]
        return {'address': self.address, 'paths': paths}


class RpcClients:
    """Channels to peers by address, opened when first used."""

    def __init__(
        self,
        ping_every_s: float = PING_EVERY_S,
        ping_timeout_s: float = PING_TIMEOUT_S,
    ) -> None:
        """Start with no channels; the times are those of pings, in seconds."""
        self._channels: dict[str, Channel] = {}
        self._pings = (ping_every_s, ping_timeout_s)

    async def call(
        self,
        peer: str,
        method: Method[Request, Reply],
        req: Request,
        *,
        timeout: float,
    ) -> Result[Reply, UnavailableError]:
        """Call once; ``timeout`` is in seconds and bounds the whole call."""
        unary: Any = UnaryUnaryMethod(
            self._channel(peer),
            method.path,
            method.request_type,
            method.reply_type,
        )
        try:
            return Ok(await unary(req, timeout=timeout))
        except GRPCError as exc:
            # The peer refused: the connection works, others may use it.
            return Err(_unavailable(exc, method.path, peer))
        except CALL_FAILURES as exc:
            self.retire(peer)
            return Err(_unavailable(exc, method.path, peer))

    async def stream(
        self,
        peer: str,
        method: Method[Request, Reply],
        req: Request,
    ) -> AsyncGenerator[Reply, None]:
        """Yield replies until the peer ends or the connection breaks.

        Raises:
            UnavailableError: when the connection breaks.
        """
        replies: Any = UnaryStreamMethod(
            self._channel(peer),
            method.path,
            method.request_type,
            method.reply_type,
        )
        try:
            async with replies.open() as stream:
                await stream.send_message(req, end=True)
                async for reply in stream:
                    yield reply
        except CALL_FAILURES as exc:
            self.retire(peer)
            raise _unavailable(exc, method.path, peer) from exc

    async def feed(
        self,
        peer: str,
        method: Method[Request, Reply],
        requests: AsyncIterator[Request],
    ) -> Reply:
        """Send requests over one call as they come; return the reply.

        A message on an open call costs a small part of a call of its own.

        Raises:
            UnavailableError: when the connection breaks.
        """
        method_at_peer: Any = StreamUnaryMethod(
            self._channel(peer),
            method.path,
            method.request_type,
            method.reply_type,
        )
        try:
            async with method_at_peer.open() as stream:
                async for req in requests:
                    await stream.send_message(req)
                await stream.end()
                reply: Reply = await stream.recv_message()
        except CALL_FAILURES as exc:
            self.retire(peer)
            raise _unavailable(exc, method.path, peer) from exc
        return reply

    def retire(self, peer: str) -> None:
        """Drop the channel to a peer; the next call opens a new one."""
        channel = self._channels.pop(peer, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for peer in tuple(self._channels):
            self.retire(peer)

    def _channel(self, peer: str) -> Channel:
        channel = self._channels.get(peer)
        if channel is None:
            host, _, port = peer.rpartition(':')
            channel = Channel(
                host,
                int(port),
                codec=MessageCodec(),
                config=_configuration(*self._pings),
            )
            self._channels[peer] = channel
        return channel


def _configuration(
    ping_every_s: float = PING_EVERY_S,
    ping_timeout_s: float = PING_TIMEOUT_S,
) -> Configuration:
    return Configuration(
        _keepalive_time=ping_every_s,
        _keepalive_timeout=ping_timeout_s,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        # By default 300 s, which would leave out all pings but the first.
        _http2_min_sent_ping_interval_without_data=ping_every_s / 2,
    )


def _unavailable(
    exc: BaseException,
    step: str,
    peer: str,
) -> UnavailableError:
    reason = str(exc) or type(exc).__name__
    return UnavailableError(reason, step=step, peer=peer)
