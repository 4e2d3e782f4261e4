"""The methods that our processes call on each other over gRPC: their types."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

from grpclib.config import Configuration

Request = TypeVar('Request')
Reply = TypeVar('Reply')

#: Keep-alive pings find connections that have gone silent, in seconds.
PING_EVERY_S = 5.0
PING_TIMEOUT_S = 3.0

#: Bytes that one end may have sent before the other has read them. A ping waits
#: behind them: 0.1 s on a link of 20 Mbit/s, where the 4 MiB that the library
#: takes are 1.7 s, more than the 0.5 s after which a connection counts as
#: silent. On links with 2 ms there and back it allows 130 MB a second.
WINDOW_BYTES = 262_144


class Method(NamedTuple, Generic[Request, Reply]):
    """One call: its path and the types that it carries."""

    path: str
    request_type: type[Request]
    reply_type: type[Reply]
    streams_replies: bool = False
    streams_requests: bool = False


def build_configuration(
    ping_every_s: float = PING_EVERY_S,
    ping_timeout_s: float = PING_TIMEOUT_S,
) -> Configuration:
    """Build what both ends need to find silent connections; in seconds."""
    return Configuration(
        _keepalive_time=ping_every_s,
        _keepalive_timeout=ping_timeout_s,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        # By default 300 s, which would leave out all pings but the first.
        _http2_min_sent_ping_interval_without_data=ping_every_s / 2,
        http2_connection_window_size=WINDOW_BYTES,
        http2_stream_window_size=WINDOW_BYTES,
    )
