"""The settings of each daemon, as sections of its TOML file."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from snipebend.settings.base import (
    Address,
    AddressOrEmpty,
    HostIp,
    MAX_CLOCK_DRIFT,
    MAX_SPAN_S,
    MIN_SUBSET_SIZE,
    Name,
    Port,
    Seconds,
    Section,
)
from snipebend.settings.seeds import (
    SeedsSection,
)


class ProcessSection(Section, frozen=True, kw_only=True):
    """Name and location of this process."""

    name: Name
    data_center: Name
    region: Name = 'local'


class ListenSection(Section, frozen=True, kw_only=True):
    """Listen addresses; for port 0 the system chooses one."""

    host: HostIp = '127.0.0.1'
    http_port: Port = 0
    grpc_port: Port = 0
    admin_port: Port = 0
    #: Addresses at which others reach the two ports; empty: same as listening.
    public_http: AddressOrEmpty = ''
    public_grpc: AddressOrEmpty = ''
    #: File for the listen addresses as JSON, for scripts; empty: no file.
    ports_file: str = ''
    #: Seconds of a graceful stop in which peers are notified; meanwhile an
    #: entry still accepts new work, and an agent refuses it.
    grace_s: Annotated[float, Meta(ge=0, le=MAX_SPAN_S)] = 1.0


class LogSection(Section, frozen=True, kw_only=True):
    """Level and format of the log."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    format: Literal['pairs', 'json'] = 'pairs'


class DaemonSettings(Section, frozen=True, kw_only=True):
    """Settings that all daemons have."""

    process: ProcessSection
    listen: ListenSection = ListenSection()
    log: LogSection = LogSection()


class ControlSection(Section, frozen=True, kw_only=True):
    """Addresses of the control daemons' gRPC servers."""

    addresses: Annotated[list[Address], Meta(min_length=1)]


class ConnectionsSection(Section, frozen=True, kw_only=True):
    """Number and timeouts of an entry's connections to agents."""

    #: Seconds without received bytes after which a connection is closed;
    #: agents send heartbeats more often than that.
    silent_after_s: Seconds = 2.0
    #: Maximum number of upstreams of one policy that this entry uses; it can
    #: be fewer, depending on the numbers of entries and upstreams.
    max_upstreams: Annotated[int, Meta(ge=MIN_SUBSET_SIZE)] = 256


class EntrySettings(DaemonSettings, frozen=True, kw_only=True):
    """The settings of ``snipebend-entry``."""

    control: ControlSection
    connections: ConnectionsSection = ConnectionsSection()


class UpstreamSection(Section, frozen=True, kw_only=True):
    """The upstream that an agent announces and proxies."""

    #: The name of the upstream policy in the fleet file.
    policy: Name
    #: Listen address of the engine or service.
    address: Address
    #: Seconds between announcements, and between load reports.
    report_every_s: Seconds = 1.0
    #: Seconds between heartbeats from the agent to the entry that forwarded a
    #: request, while the upstream sends nothing.
    beat_s: Seconds = 0.5
    #: Seconds without a probe response after which the upstream is down.
    silent_after_s: Seconds = 6.0
    #: Maximum number of concurrent attempts; further ones are refused.
    max_running: Annotated[int, Meta(ge=1)] = 1024


class AgentSettings(DaemonSettings, frozen=True, kw_only=True):
    """The settings of ``snipebend-agent``."""

    control: ControlSection
    upstream: UpstreamSection


class MemberSection(Section, frozen=True, kw_only=True):
    """One member of the control group."""

    name: Name
    address: Address


class StorageSection(Section, frozen=True, kw_only=True):
    """Storage of the replicated state."""

    #: The data folder; the daemon writes nothing outside of it.
    folder: Annotated[str, Meta(min_length=1)]
    #: Number of log entries between snapshots.
    snapshot_every: Annotated[int, Meta(ge=10)] = 1000


class ElectionSection(Section, frozen=True, kw_only=True):
    """Timing of the consensus between control daemons."""

    heartbeat_s: Seconds = 0.25
    election_timeout_s: Seconds = 1.0
    #: Maximum relative drift between the clocks of two VMs.
    clock_drift: Annotated[float, Meta(ge=0, le=MAX_CLOCK_DRIFT)] = 0.01


class ControlSettings(DaemonSettings, frozen=True, kw_only=True):
    """The settings of ``snipebend-control``."""

    storage: StorageSection
    election: ElectionSection = ElectionSection()
    #: Initial members, identical on all of them; empty: a group of one.
    members: list[MemberSection] = []
    #: HTTP listen address for upstreams and operators without gRPC.
    outer: Address = '127.0.0.1:0'
    #: Data centres that operators may evacuate beside those of announced
    #: upstreams; empty: any. A name that this project wouldn't choose must not
    #: keep control from starting.
    data_centers: list[str] = []
    #: Instead of ``members``: create the group from seeds, admit any daemon.
    seeds: SeedsSection | None = None

    @property
    def member_name(self) -> str:
        """Return this daemon's member name; with seeds it is the host."""
        return self.listen.host if self.seeds else self.process.name

    @property
    def listed_addresses(self) -> tuple[str, ...]:
        """Return the gRPC addresses of the listed daemons or seeds."""
        if self.seeds:
            return self.seeds.grpc_addresses
        return tuple(member.address for member in self.members)

    def __post_init__(self) -> None:
        """Check that the members are distinct and include this daemon.

        Members and seeds must not be combined.
        """
        if self.members and self.seeds:
            raise ValueError(
                'members and seeds must not both be set: '
                + f'got {len(self.members)} members and seeds at '
                + ', '.join(self.seeds.addresses)
            )
        names = [member.name for member in self.members]
        addresses = {member.address for member in self.members}
        if len(set(names)) < len(names) or len(addresses) < len(names):
            listed = ', '.join(
                f'{one.name}={one.address}' for one in self.members
            )
            raise ValueError(
                f'members must have distinct names and addresses: got {listed}'
            )
        if names and self.process.name not in names:
            raise ValueError(f'members must include {self.process.name!r}')
