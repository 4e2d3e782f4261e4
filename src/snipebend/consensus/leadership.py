"""The state that a member has only while it is the leader."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.consensus.progress import Progress
    from snipebend.consensus.rounds import Rounds


class PendingRead(NamedTuple):
    """A read that waits until a majority has acknowledged a round."""

    read_id: str
    commit_index: int
    round_number: int


@dataclass(slots=True)
class Leadership:
    """The state of a leader, discarded when it steps down.

    ``first_index`` is the index of the first entry of the leader's term.
    ``proposals`` maps the index of an entry to the id of its proposal.
    ``queued_reads`` have not been assigned to a round yet; they wait for the
    first commit in the leader's term. Once ``lease_given_up`` is set, voters
    can elect another member without waiting for the lease.
    """

    rounds: Rounds
    elected_at: float
    first_index: int
    heartbeat_due_at: float = -math.inf
    progress: dict[str, Progress] = field(default_factory=dict)
    proposals: dict[int, str] = field(default_factory=dict)
    queued_reads: list[str] = field(default_factory=list)
    reads: list[PendingRead] = field(default_factory=list)
    successor: str | None = None
    successor_until: float = math.inf
    next_prompt_at: float = -math.inf
    lease_given_up: bool = False
