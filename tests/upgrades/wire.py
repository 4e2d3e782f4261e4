"""Raw gRPC: method paths and fields as they are on the wire."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from grpclib.client import (
    Channel,
    StreamUnaryMethod,
    UnaryStreamMethod,
    UnaryUnaryMethod,
)
from grpclib.encoding.base import CodecBase
from msgspec import msgpack

if TYPE_CHECKING:
    from collections.abc import Iterable

CALL_S = 6.0


class BytesCodec(CodecBase):
    """Passes bytes that are MessagePack already."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes as they are."""
        return bytes(message)

    def decode(self, data: bytes, message_type: Any) -> bytes:
        """Return the bytes as they are."""
        return data


def open_channel(address: str) -> Channel:
    """Return a channel to ``host:port``."""
    host, _, port = address.rpartition(':')
    return Channel(host, int(port), codec=BytesCodec())


async def call(address: str, path: str, fields: dict[str, Any]) -> Any:
    """Call once and return the reply's fields."""
    async with asyncio.timeout(CALL_S), open_channel(address) as channel:
        unary: Any = UnaryUnaryMethod(channel, path, bytes, bytes)
        return msgpack.decode(await unary(msgpack.encode(fields)))


async def first(address: str, path: str, fields: dict[str, Any]) -> Any:
    """Return the first message of a stream of replies."""
    async with asyncio.timeout(CALL_S), open_channel(address) as channel:
        method: Any = UnaryStreamMethod(channel, path, bytes, bytes)
        async with method.open() as stream:
            await stream.send_message(msgpack.encode(fields), end=True)
            message = msgpack.decode(await stream.recv_message())
            await stream.cancel()
    return message


async def feed(
    address: str, path: str, messages: Iterable[dict[str, Any]]
) -> Any:
    """Send a stream of messages and return the reply's fields."""
    async with asyncio.timeout(CALL_S), open_channel(address) as channel:
        method: Any = StreamUnaryMethod(channel, path, bytes, bytes)
        encoded = [msgpack.encode(message) for message in messages]
        return msgpack.decode(await method(encoded))
