"""Messages about the load of experts and the state of switches."""

from __future__ import annotations

from msgspec import Struct


class ExpertLoadQuery(Struct, frozen=True):
    """Ask for the counts since the last question."""

    group: str


class ExpertLoadReply(Struct, frozen=True):
    """Tokens by layer and expert up to a step, as the engine counts them."""

    step: int = 0
    counts: list[list[int]] = []


class GroupStatusQuery(Struct, frozen=True):
    """Ask the control leader for the groups' expert maps."""


class GroupStatus(Struct, frozen=True):
    """One group's expert map: what is in force, what it costs, and why.

    ``skew`` is the slowest rank's load over the mean, 0 if unknown.
    ``moved_bytes`` counts the weights that this leader had fetched.
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
    """The status of all groups; empty from a daemon that doesn't lead."""

    leads: bool
    groups: tuple[GroupStatus, ...] = ()
