"""Messages about the load of experts and the state of switches."""

from __future__ import annotations

from msgspec import Struct


class ExpertLoadQuery(Struct, frozen=True):
    """Request the counts since the last query."""

    group: str


class ExpertLoadReply(Struct, frozen=True):
    """Tokens by layer and expert up to a step, as counted by the engine."""

    step: int = 0
    counts: list[list[int]] = []


class GroupStatusQuery(Struct, frozen=True):
    """Request the status of all groups' expert maps from the leader."""


class GroupStatus(Struct, frozen=True):
    """The state of one group's expert map and the last decision about it.

    ``skew`` is the slowest rank's load divided by the mean, 0 if unknown.
    ``moved_bytes`` counts the weights fetched on behalf of this leader.
    """

    group: str
    phase: str
    incarnation: int = 0
    map_version: int = 0
    step: int = 0
    members: tuple[str, ...] = ()
    skew: float = 0
    moved_bytes: int = 0
    last_decision: str = 'none'
    reason: str = ''


class GroupStatusReply(Struct, frozen=True):
    """The status of all groups; empty if the daemon is not the leader."""

    leads: bool
    groups: tuple[GroupStatus, ...] = ()
