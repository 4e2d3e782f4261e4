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


class ColdSection(Section, frozen=True, kw_only=True):
    """What cold upstreams accept beyond the rate that their service names."""

    #: Requests that a cold upstream accepts in a second, relative to the rate.
    rate_factor: Annotated[float, Meta(ge=0)] = 1.0
    #: Further requests that it accepts in any second.
    extra_requests: Annotated[float, Meta(ge=0)] = 0

    def requests_per_s(self, cold_per_s: float) -> int:
        """Return the requests that a cold upstream accepts in any second."""
        return int(cold_per_s * self.rate_factor + self.extra_requests)


class AdmissionSection(Section, frozen=True, kw_only=True):
    """How an entry decides who waits and who is refused under hard load."""

    #: Requests that may wait at the entry, and the bytes of their bodies.
    max_waiting: Annotated[int, Meta(ge=1)] = 512
    max_waiting_bytes: Annotated[int, Meta(ge=1)] = 16_777_216


class RelaySection(Section, frozen=True, kw_only=True):
    """How an entry calls upstreams without an agent."""

    #: Timeout for opening a connection to an upstream, in seconds.
    connect_timeout_s: Seconds = 0.4
    #: Seconds without a TCP acknowledgement from the other end after which a
    #: connection is closed.
    silent_after_s: Seconds = 1.5
    #: Retry budget of the whole fleet, as a share of its requests.
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.2
    #: Additional retries that the whole fleet has within ten seconds; the
    #: entries divide them among each other.
    retry_slack: Annotated[float, Meta(ge=0)] = 90
    #: Number of upstreams that may end under one request before it is refused.
    crash_limit: Annotated[int, Meta(ge=1)] = 3
    #: Seconds for which such a request is refused after the last end.
    quarantine_s: Seconds = 600.0
    #: Memory of the VM in megabytes, which bounds what is held for slow
    #: callers; 0: unknown, and nothing is counted.
    memory_mb: Annotated[float, Meta(ge=0)] = 0
    #: Limits of cold upstreams; none are limited without the section.
    cold: ColdSection | None = None
    #: Calls that one to another data centre counts for in addition when
    #: upstreams are compared; 0: data centres matter among equals only.
    remote_weight: Annotated[float, Meta(ge=0)] = 0
    #: Admits by the room that upstreams have; without it, requests are sent on
    #: until the upstreams' queues are full.
    admission: AdmissionSection | None = None


class RelaySettings(DaemonSettings, frozen=True, kw_only=True):
    """The settings of an entry that calls its upstreams directly."""

    control: SeedsSection
    relay: RelaySection = RelaySection()
    #: Listen address for callers.
    callers: Address = '127.0.0.1:0'
    #: Listen address for the load balancer's readiness checks.
    readiness: Address = '127.0.0.1:0'
    #: UDP port for load reports between entries; for 0 the system chooses.
    gossip_port: Port = 0
    #: Seconds from the stop signal until the process must have exited.
    stop_within_s: Seconds = 8.0
