"""What entries tell control daemons of the passes of groups."""

from __future__ import annotations

from msgspec import Struct


class PacesTold(Struct, frozen=True, array_like=True):
    """One entry's sums by group since its last message, with a number."""

    entry: str
    started_at: float
    number: int
    #: Events of streams, and the seconds that went by before them.
    paces: dict[str, tuple[int, float]]
