"""What the sections of all settings files are made of."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

MAX_PORT = 65535
MAX_SPAN_S = 3600.0
MAX_CLOCK_DRIFT = 0.2
#: Pools up to this size are never cut.
MIN_SUBSET = 20

#: ``host:port`` with a host by IP number.
Address = Annotated[
    str,
    StringConstraints(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'),
]
HostIp = Annotated[
    str,
    StringConstraints(pattern=r'^\d{1,3}(\.\d{1,3}){3}$'),
]
Name = Annotated[
    str,
    StringConstraints(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'),
]
Port = Annotated[int, Field(ge=0, le=MAX_PORT)]
Seconds = Annotated[float, Field(gt=0, le=MAX_SPAN_S)]


class Section(BaseModel):
    """A table of the file: unknown keys and loose types are errors."""

    model_config = ConfigDict(extra='forbid', strict=True, frozen=True)
