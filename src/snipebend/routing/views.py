"""Snapshots of upstreams and suspects for the router, and of its state."""

from __future__ import annotations

from typing import Literal, NamedTuple

UpstreamPhase = Literal['serving', 'leaving']


class LoadView(NamedTuple):
    """A load report of an upstream.

    ``running`` and ``queued`` count requests of all entries, and ``kv_use`` is
    the used share of the KV cache (0 to 1). ``taken_at`` is the time of the
    measurement in seconds of the router's clock: the receiver subtracts the
    age of the report from its own time.
    """

    running: int = 0
    queued: int = 0
    kv_use: float = 0
    taken_at: float = 0


class UpstreamView(NamedTuple):
    """One upstream, as membership reports it.

    ``policy`` names its upstream section of the fleet file. ``resident`` holds
    the loaded adapters and versions; an empty set means that the upstream does
    not report them. Slow start begins at ``joined_at`` (router's clock).
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
    """A suspect request, and how many upstreams died while running it.

    ``quarantined_until`` is in seconds of the router's clock.
    """

    fingerprint: str
    deaths: int
    quarantined_until: float = 0


class RouterDump(NamedTuple):
    """The router's state as counts and tables of plain values."""

    counts: dict[str, float]
    upstreams: dict[str, dict[str, float | str]]
    suspects: dict[str, float]
