"""The methods that our processes call on each other over gRPC: their types."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

from grpclib.config import Configuration

Request = TypeVar('Request')
Reply = TypeVar('Reply')

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
    )
