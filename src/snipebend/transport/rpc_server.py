"""The gRPC server of a process, with the endpoints of its services."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import aclosing
from typing import Any, NamedTuple

from grpclib.const import Cardinality, Handler
from grpclib.server import Server
from loguru import logger

from snipebend.kernel.registry import Registry
from snipebend.kernel.service import Service
from snipebend.transport.codec import MessageCodec
from snipebend.transport.rpc import Method, build_configuration

UnaryHandler = Callable[[Any], Awaitable[Any]]
ReplyStreamHandler = Callable[[Any], AsyncIterator[Any]]
RequestStreamHandler = Callable[[AsyncIterator[Any]], Awaitable[Any]]


class Endpoint(NamedTuple):
    """A method and the function that handles its calls."""

    method: Method[Any, Any]
    handler: UnaryHandler | ReplyStreamHandler | RequestStreamHandler


class _HandlerTable:
    """A ``grpclib`` service: a mapping from paths to handlers."""

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
            _build_reply_stream_handler(endpoint),
            Cardinality.UNARY_STREAM,
            method.request_type,
            method.reply_type,
        )
    if method.streams_requests:
        return Handler(
            _build_request_stream_handler(endpoint),
            Cardinality.STREAM_UNARY,
            method.request_type,
            method.reply_type,
        )
    return Handler(
        _build_unary_handler(endpoint),
        Cardinality.UNARY_UNARY,
        method.request_type,
        method.reply_type,
    )


def _build_unary_handler(
    endpoint: Endpoint,
) -> Callable[[Any], Awaitable[None]]:
    async def handle_call(stream: Any) -> None:
        req = await stream.recv_message()
        reply: Any = await endpoint.handler(req)  # type: ignore[misc]
        await stream.send_message(reply)

    return handle_call


def _build_request_stream_handler(
    endpoint: Endpoint,
) -> Callable[[Any], Awaitable[None]]:
    async def handle_call(stream: Any) -> None:
        handler: Any = endpoint.handler
        await stream.send_message(await handler(stream))

    return handle_call


def _build_reply_stream_handler(
    endpoint: Endpoint,
) -> Callable[[Any], Awaitable[None]]:
    async def handle_call(stream: Any) -> None:
        req = await stream.recv_message()
        replies: Any = endpoint.handler(req)
        # If a caller disconnects while a reply waits for the flow-control
        # window, this task is cancelled outside the generator. Without closing
        # it, the generator would hold the reply until garbage collection:
        # control daemons grew by 10 to 25 MB per second up to their memory
        # limit while watches were opened and closed.
        async with aclosing(replies):
            async for reply in replies:
                await stream.send_message(reply)

    return handle_call


class RpcServer(Service):
    """Listens on one address and serves the registered endpoints."""

    def __init__(self, name: str, host: str, port: int) -> None:
        """Store the address; with port 0 the system chooses a port."""
        super().__init__(name)
        self._host = host
        self._port = port
        self._endpoints: list[Endpoint] = []
        self._server: Server | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``, with the actual port after the start."""
        return f'{self._host}:{self._port}'

    def add(self, *endpoints: Endpoint) -> None:
        """Add endpoints; must be called before the start."""
        self._endpoints.extend(endpoints)

    async def start(self, registry: Registry) -> None:
        """Start listening."""
        self._server = Server(
            [_HandlerTable(tuple(self._endpoints))],
            codec=MessageCodec(),
            config=build_configuration(),
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
        """Return the address and the paths of the methods."""
        paths = [endpoint.method.path for endpoint in self._endpoints]
        return {'address': self.address, 'paths': paths}
