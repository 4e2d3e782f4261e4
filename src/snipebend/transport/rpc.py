"""The type of gRPC methods, and the HTTP/2 settings of both ends."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

from grpclib.config import Configuration

Request = TypeVar('Request')
Reply = TypeVar('Reply')

#: Interval and timeout in seconds of the keep-alive pings that detect
#: unresponsive connections.
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 3.0

#: HTTP/2 flow-control window: the bytes that one end may send before the other
#: has read them. A ping waits behind them: 0.1 s on a link of 20 Mbit/s. The
#: library's default of 4 MiB takes 1.7 s, more than the 0.5 s after which a
#: connection counts as unresponsive. With a round trip of 2 ms the window
#: allows 130 MB/s.
WINDOW_BYTES = 262_144


class Method(NamedTuple, Generic[Request, Reply]):
    """A gRPC method: its path, message types and kind of streaming."""

    path: str
    request_type: type[Request]
    reply_type: type[Reply]
    streams_replies: bool = False
    streams_requests: bool = False


def build_configuration(
    ping_interval_s: float = PING_INTERVAL_S,
    ping_timeout_s: float = PING_TIMEOUT_S,
) -> Configuration:
    """Build the settings for pings, in seconds, and flow control."""
    return Configuration(
        _keepalive_time=ping_interval_s,
        _keepalive_timeout=ping_timeout_s,
        _keepalive_permit_without_calls=True,
        _http2_max_pings_without_data=0,
        # The default of 300 s would suppress all pings but the first.
        _http2_min_sent_ping_interval_without_data=ping_interval_s / 2,
        http2_connection_window_size=WINDOW_BYTES,
        http2_stream_window_size=WINDOW_BYTES,
    )
