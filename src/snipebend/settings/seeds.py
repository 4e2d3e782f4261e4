"""Settings of processes that discover control daemons through seeds."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from snipebend.settings.base import (
    Address,
    MAX_PORT,
    Section,
)


class SeedsSection(Section, frozen=True, kw_only=True):
    """Control daemons from which a process learns the addresses of others."""

    #: Addresses of control daemons; only their hosts are used.
    addresses: Annotated[list[Address], Meta(min_length=1)]
    #: Port of the gRPC server on every control daemon.
    grpc_port: Annotated[int, Meta(ge=1, le=MAX_PORT)]
    #: Whether the seeds may create a group; only for a new deployment.
    bootstrap: bool = False

    @property
    def grpc_addresses(self) -> tuple[str, ...]:
        """Return the gRPC addresses, sorted so that all daemons agree."""
        hosts = {address.rpartition(':')[0] for address in self.addresses}
        return tuple(f'{host}:{self.grpc_port}' for host in sorted(hosts))


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _, port = address.rpartition(':')
    return host, int(port)
