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
    MIN_SUBSET,
    Name,
    Port,
    Seconds,
    Section,
)
from snipebend.settings.seeds import (
    SeedsSection,
)


class ProcessSection(Section, frozen=True, kw_only=True):
    """Who and where this process is."""

    name: Name
    data_center: Name
    region: Name = 'local'


class ListenSection(Section, frozen=True, kw_only=True):
    """Where this process listens; port 0 lets the system choose."""

    host: HostIp = '127.0.0.1'
    http_port: Port = 0
    grpc_port: Port = 0
    admin_port: Port = 0
    #: Where others reach the two ports; empty: where this process listens.
    public_http: AddressOrEmpty = ''
    public_grpc: AddressOrEmpty = ''
    #: Where to write the chosen ports as JSON, for scripts; empty: nowhere.
    ports_file: str = ''
    #: Seconds of a graceful stop in which peers learn of it: an entry still
    #: takes new work meanwhile, an agent refuses it.
    grace_s: Annotated[float, Meta(ge=0, le=MAX_SPAN_S)] = 1.0


class LogSection(Section, frozen=True, kw_only=True):
    """How much to log."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    format: Literal['pairs', 'json'] = 'pairs'


class DaemonSettings(Section, frozen=True, kw_only=True):
    """What all daemons share."""

    process: ProcessSection
    listen: ListenSection = ListenSection()
    log: LogSection = LogSection()


class ControlSection(Section, frozen=True, kw_only=True):
    """The control daemons' gRPC addresses."""

    addresses: Annotated[list[Address], Meta(min_length=1)]


class ConnectionsSection(Section, frozen=True, kw_only=True):
    """An entry's connections to agents: how many, and their health."""

    #: Seconds without a byte after which a connection is given up; agents
    #: beat more often than that.
    silent_after_s: Seconds = 2.0
    #: Most upstreams of one policy that this entry knows and uses; the counts
    #: of entries and upstreams may give it fewer.
    max_upstreams: Annotated[int, Meta(ge=MIN_SUBSET)] = 256


class EntrySettings(DaemonSettings, frozen=True, kw_only=True):
    """The settings of ``snipebend-entry``."""

    control: ControlSection
    connections: ConnectionsSection = ConnectionsSection()


class UpstreamSection(Section, frozen=True, kw_only=True):
    """The upstream that an agent stands beside."""

    #: The name of the upstream policy in the fleet file.
    policy: Name
    #: Where the engine or service listens.
    address: Address
    #: Seconds between two announcements and load reports.
    report_every_s: Seconds = 1.0
    #: Seconds between two signs of life while the upstream is quiet.
    beat_s: Seconds = 0.5
    #: Seconds without an answer to a probe after which it counts as down.
    silent_after_s: Seconds = 6.0
    #: Attempts at once, beyond which the agent refuses.
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
    """Where the replicated state lives."""

    #: The data folder; nothing outside it is written.
    folder: Annotated[str, Meta(min_length=1)]
    #: Log entries between two snapshots.
    snapshot_every: Annotated[int, Meta(ge=10)] = 1000


class ElectionSection(Section, frozen=True, kw_only=True):
    """Timing of the agreement between control daemons."""

    heartbeat_s: Seconds = 0.25
    election_timeout_s: Seconds = 1.0
    #: Bound on how far two VMs' clocks drift apart, as a share.
    clock_drift: Annotated[float, Meta(ge=0, le=MAX_CLOCK_DRIFT)] = 0.01


class ControlSettings(DaemonSettings, frozen=True, kw_only=True):
    """The settings of ``snipebend-control``."""

    storage: StorageSection
    election: ElectionSection = ElectionSection()
    #: The first members, the same list on each; empty: a group of one.
    members: list[MemberSection] = []
    #: Where upstreams and operators call, if they don't speak gRPC.
    outer: Address = '127.0.0.1:0'
    #: In place of ``members``: found the group by seeds, take in any daemon.
    seeds: SeedsSection | None = None

    @property
    def member_name(self) -> str:
        """Return the own name among the members: with seeds, the host."""
        return self.listen.host if self.seeds else self.process.name

    @property
    def listed_addresses(self) -> tuple[str, ...]:
        """Return the gRPC addresses of the listed daemons or seeds."""
        if self.seeds:
            return self.seeds.grpc_addresses
        return tuple(member.address for member in self.members)

    def __post_init__(self) -> None:
        """Refuse a list of members that repeats one or lacks this one."""
        if self.members and self.seeds:
            raise ValueError('members and seeds exclude each other')
        names = [member.name for member in self.members]
        addresses = {member.address for member in self.members}
        if len(set(names)) < len(names) or len(addresses) < len(names):
            raise ValueError('members must have distinct names and addresses')
        if names and self.process.name not in names:
            raise ValueError(f'members must include {self.process.name!r}')
