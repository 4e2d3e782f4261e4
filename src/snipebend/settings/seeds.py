"""The settings of processes that find control daemons by seeds."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from snipebend.settings.base import (
    Address,
    MAX_PORT,
    Section,
)


class SeedsSection(Section, frozen=True, kw_only=True):
    """Some control daemons, from which a process learns the others."""

    #: Addresses of control daemons; only their hosts are used.
    addresses: Annotated[list[Address], Meta(min_length=1)]
    #: The port of every control daemon's gRPC server.
    grpc_port: Annotated[int, Meta(ge=1, le=MAX_PORT)]
    #: Whether the seeds may found a group: only where there never was one.
    bootstrap: bool = False

    @property
    def grpc_addresses(self) -> tuple[str, ...]:
        """Return the gRPC addresses in one order on all daemons."""
        hosts = {address.rpartition(':')[0] for address in self.addresses}
        return tuple(f'{host}:{self.grpc_port}' for host in sorted(hosts))


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(':')
    return host, int(port)
