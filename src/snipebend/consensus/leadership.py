"""What a member holds only while it leads."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.consensus.progress import Progress
    from snipebend.consensus.rounds import Rounds


class PendingRead(NamedTuple):
    """A read that waits for a majority to answer a round."""

    read_id: str
    commit_index: int
    round_number: int


@dataclass(slots=True)
class Leadership:
    """The state of one leadership; gone with it.

    ``proposals`` maps the index of an entry to the proposal that it answers.
    ``early_reads`` wait for the first commit of the leader's own term. After
    ``lease_given_up`` a voter may be elected without waiting for the lease.
    """

    rounds: Rounds
    elected_at: float
    first_index: int
    heartbeat_at: float = -math.inf
    progress: dict[str, Progress] = field(default_factory=dict)
    proposals: dict[int, str] = field(default_factory=dict)
    early_reads: list[str] = field(default_factory=list)
    reads: list[PendingRead] = field(default_factory=list)
    successor: str | None = None
    successor_until: float = math.inf
    prompt_at: float = -math.inf
    lease_given_up: bool = False
