"""The codec of all gRPC messages between the daemons.

Messages are frozen ``msgspec`` records, encoded as MessagePack with fields by
name. Rolling upgrades depend on this: a newer process may add fields with
defaults, and an older one skips the fields that it doesn't know.
"""

from __future__ import annotations

from typing import Any, TypeVar

from grpclib.encoding.base import CodecBase
from msgspec import msgpack

AnyMessage = TypeVar('AnyMessage')


class MessageCodec(CodecBase):
    """Encodes ``msgspec`` records for ``grpclib``, without generated code."""

    __content_subtype__ = 'msgpack'

    def __init__(self) -> None:
        """Create the encoder; decoders are created per type on first use."""
        self._encoder = msgpack.Encoder()
        self._decoders: dict[Any, msgpack.Decoder[Any]] = {}

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a record."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a record of the given type and validate its fields."""
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = msgpack.Decoder(message_type)
            self._decoders[message_type] = decoder
        return decoder.decode(data)


def encode(message: object) -> bytes:
    """Encode a record for the log or the network."""
    return msgpack.encode(message)


def decode(data: bytes, kind: type[AnyMessage]) -> AnyMessage:
    """Decode a record; raises ``msgspec.DecodeError`` on invalid data."""
    return msgpack.decode(data, type=kind)
