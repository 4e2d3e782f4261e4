"""What the router is shown of the world, and what it shows of itself."""

from __future__ import annotations

from typing import Literal, NamedTuple

UpstreamPhase = Literal['serving', 'leaving']


class LoadView(NamedTuple):
    """What an upstream said of its load, at a past moment.

    ``running`` and ``queued`` count requests of all entries, ``kv_use`` is
    the used share of the KV cache (0 to 1) and ``taken_at`` is in seconds of
    the router's own clock: whoever receives a report subtracts its age.
    """

    running: int = 0
    queued: int = 0
    kv_use: float = 0
    taken_at: float = 0


class UpstreamView(NamedTuple):
    """One upstream as the membership shows it.

    ``policy`` names its entry in the fleet file. ``resident`` holds the
    adapters and versions that are loaded; an empty set means that the
    upstream doesn't tell. ``joined_at`` (router's clock) starts its slow
    start.
    """

    name: str
    policy: str
    data_center: str
    incarnation: int
    phase: UpstreamPhase = 'serving'
    load: LoadView = LoadView()
    resident: frozenset[str] = frozenset()
    joined_at: float = 0


class SuspectView(NamedTuple):
    """A fingerprint seen running when upstreams died (router's clock)."""

    fingerprint: str
    deaths: int
    quarantined_until: float = 0


class RouterDump(NamedTuple):
    """A router's state in counts and tables of plain values."""

    counts: dict[str, float]
    upstreams: dict[str, dict[str, float | str]]
    suspects: dict[str, float]
