"""The gRPC clients of a process: one channel per peer, opened on first use."""

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
    PING_INTERVAL_S,
    PING_TIMEOUT_S,
    Method,
    Reply,
    Request,
    build_configuration,
)

#: Timeout in seconds of opening a connection, doubled after each attempt that
#: times out. A VM without power drops the SYN packet, and the kernel resends it
#: only after 1 s: after a power loss, processes that were back 0.3 s before
#: their peers reached them 0.7 s after those had started.
CONNECT_TIMEOUT_S = 0.25

#: Maximum of that timeout in seconds: enough for a round trip around the world
#: with one lost packet.
MAX_CONNECT_TIMEOUT_S = 2.0

#: Exceptions that a broken or unresponsive connection raises in the caller.
CALL_FAILURES = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
)


class RpcClients:
    """Channels to peers by address, opened on first use."""

    def __init__(
        self,
        ping_interval_s: float = PING_INTERVAL_S,
        ping_timeout_s: float = PING_TIMEOUT_S,
    ) -> None:
        """Create the clients without channels.

        ``ping_interval_s`` and ``ping_timeout_s`` are the interval and the
        timeout in seconds of the keep-alive pings of each channel.
        """
        self._channels: dict[str, Channel] = {}
        #: Timeout of the next attempt, by peer whose last attempt timed out.
        self._connect_timeouts_s: dict[str, float] = {}
        self._pings = (ping_interval_s, ping_timeout_s)

    async def call(
        self,
        peer: str,
        method: Method[Request, Reply],
        req: Request,
        *,
        timeout: float,
    ) -> Result[Reply, UnavailableError]:
        """Call once; ``timeout`` in seconds includes opening the channel."""
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
            # The peer replied with an error: the connection works, so keep it.
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
        """Yield replies until the peer ends the call.

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

    async def send_stream(
        self,
        peer: str,
        method: Method[Request, Reply],
        requests: AsyncIterator[Request],
    ) -> Reply:
        """Send requests over one call as they arrive; return the reply.

        A message on an open call is much cheaper than a separate call.

        Raises:
            UnavailableError: when the connection breaks.
        """
        stream_method: Any = StreamUnaryMethod(
            self._channel(peer),
            method.path,
            method.request_type,
            method.reply_type,
        )
        try:
            await self._connect(peer)
            async with stream_method.open() as stream:
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
        """Open the channel unless it is already open.

        Raises:
            OSError: when the peer refuses or doesn't reply before the timeout.
        """
        timeout_s = self._connect_timeouts_s.get(peer, CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s):
                await self._channel(peer).__connect__()
        except TimeoutError:
            self._connect_timeouts_s[peer] = min(
                MAX_CONNECT_TIMEOUT_S, 2 * timeout_s
            )
            raise
        self._connect_timeouts_s.pop(peer, None)

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
