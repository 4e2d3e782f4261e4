"""The settings of an entry that calls its upstreams directly."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from snipebend.settings.base import (
    Address,
    Port,
    Seconds,
    Section,
)
from snipebend.settings.model import (
    DaemonSettings,
)
from snipebend.settings.seeds import (
    SeedsSection,
)


class RelaySection(Section, frozen=True, kw_only=True):
    """How an entry calls upstreams that have no agent."""

    #: Seconds for a new connection to an upstream.
    connect_timeout_s: Seconds = 0.4
    #: Seconds without an acknowledgement from the other end, after which a
    #: connection is given up.
    silent_after_s: Seconds = 1.5
    #: Share of the requests that may be sent once more, over the whole fleet.
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.2
    #: Retries that the whole fleet has on top of that share in some seconds;
    #: entries save half of them.
    retry_slack: Annotated[float, Meta(ge=0)] = 90


class RelaySettings(DaemonSettings, frozen=True, kw_only=True):
    """The settings of an entry that calls its upstreams directly."""

    control: SeedsSection
    relay: RelaySection = RelaySection()
    #: Where callers connect.
    callers: Address = '127.0.0.1:0'
    #: Where the balancer asks whether this entry is ready.
    readiness: Address = '127.0.0.1:0'
    #: UDP port for the loads that entries tell each other; 0: chosen.
    gossip_port: Port = 0
    #: Seconds from the signal to stop until the process must have ended.
    stop_within_s: Seconds = 8.0
