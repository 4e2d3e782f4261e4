"""The gRPC server of a process: endpoints on one address."""

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
        # A caller that leaves while a reply waits for its window ends this
        # task outside of the generator. Unclosed, it would hold the reply
        # until garbage is collected: control daemons reached the bound of
        # their memory, by 10 to 25 MB a second, while watches came and went.
        async with aclosing(replies):
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
        """Return the address and the paths."""
        paths = [endpoint.method.path for endpoint in self._endpoints]
        return {'address': self.address, 'paths': paths}
