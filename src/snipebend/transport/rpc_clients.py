"""The gRPC clients of a process: one channel a peer, opened when first used."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any

from grpclib.client import (
    Channel,
    StreamUnaryMethod,
    UnaryStreamMethod,
    UnaryUnaryMethod,
)
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from result import Err, Ok, Result

from snipebend.errors.hierarchy import UnavailableError
from snipebend.transport.codec import MessageCodec
from snipebend.transport.rpc import (
    PING_EVERY_S,
    PING_TIMEOUT_S,
    Method,
    Reply,
    Request,
    build_configuration,
)

#: Seconds for a connection to open, doubled after each try that took longer.
#: A VM without power drops the opening, and the kernel sends it again after a
#: second only: processes that were back 0.3 s before the others of a power loss
#: reached them 0.7 s after those had started.
CONNECT_S = 0.25

#: Bound of that, in seconds: it passes for a way around the world and a packet
#: that is lost on it.
MOST_CONNECT_S = 2.0

#: What a broken or silent connection raises on the caller's side.
CALL_FAILURES = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)


class RpcClients:
    """Channels to peers by address, opened when first used."""

    def __init__(
        self,
        ping_every_s: float = PING_EVERY_S,
        ping_timeout_s: float = PING_TIMEOUT_S,
    ) -> None:
        """Start with no channels; the times are those of pings, in seconds."""
        self._channels: dict[str, Channel] = {}
        #: Seconds for the next try, of peers that didn't answer the last.
        self._connect_s: dict[str, float] = {}
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
            async with asyncio.timeout(timeout):
                await self._connect(peer)
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
            await self._connect(peer)
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
            await self._connect(peer)
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

    async def _connect(self, peer: str) -> None:
        """Open the channel, unless it is.

        Raises:
            OSError: when the peer refuses, or doesn't answer in time.
        """
        span_s = self._connect_s.get(peer, CONNECT_S)
        try:
            async with asyncio.timeout(span_s):
                await self._channel(peer).__connect__()
        except TimeoutError:
            self._connect_s[peer] = min(MOST_CONNECT_S, 2 * span_s)
            raise
        self._connect_s.pop(peer, None)

    def _channel(self, peer: str) -> Channel:
        channel = self._channels.get(peer)
        if channel is None:
            host, _, port = peer.rpartition(':')
            channel = Channel(
                host,
                int(port),
                codec=MessageCodec(),
                config=build_configuration(*self._pings),
            )
            self._channels[peer] = channel
        return channel


def _unavailable(
    exc: BaseException,
    step: str,
    peer: str,
) -> UnavailableError:
    reason = str(exc) or type(exc).__name__
    return UnavailableError(reason, step=step, peer=peer)
