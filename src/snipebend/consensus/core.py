"""The Raft core: takes events, returns actions, performs no I/O.

The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable
Consensus Algorithm", 2014) with pre-vote, check-quorum, leader lease,
single-server membership changes and leadership transfer from Ongaro's
dissertation ("Consensus: Bridging Theory and Practice", 2014).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from snipebend.consensus.dispatch import handle_event
from snipebend.consensus.node import restore_node
from snipebend.consensus.reads import lease_until
from snipebend.consensus.step_completion import complete_step

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from snipebend.consensus.actions import Action, Role
    from snipebend.consensus.config import CoreConfig, RestoredState
    from snipebend.consensus.events import Event
    from snipebend.consensus.records import Member, Members


class CoreStatus(NamedTuple):
    """The status of a member, for state dumps and for the member's caller."""

    member_id: str
    role: Role
    term: int
    leader: Member | None
    members: Members
    base_index: int
    last_index: int
    persisted_index: int
    commit_index: int
    delivered_index: int


class Core:
    """One member of a Raft group.

    The caller passes in the time and the random source, and performs all I/O.
    ``now`` is in seconds on a monotonic clock whose rate differs from true time
    by at most ``clock_drift``.
    """

    def __init__(
        self,
        cfg: CoreConfig,
        member_id: str,
        restored: RestoredState,
        now: float,
        rng: random.Random,
        process_started_at: float | None = None,
    ) -> None:
        """Create a follower with the state read from disk.

        ``process_started_at`` is the start of this process on the same clock;
        the default is ``now``.
        """
        process_started_at = (
            now if process_started_at is None else process_started_at
        )
        self._node = restore_node(
            cfg, member_id, restored, now, rng, process_started_at
        )

    def step(
        self, event: Event, now: float, rng: random.Random
    ) -> list[Action]:
        """Handle one event and return the actions to execute in order."""
        return self.step_all((event,), now, rng)

    def step_all(
        self, events: Iterable[Event], now: float, rng: random.Random
    ) -> list[Action]:
        """Handle several events together, which batches their effects.

        Raises ``CorruptionError`` if an invariant of Raft is violated. The
        process must then stop and send no further replies.
        """
        node = self._node
        node.now = now
        node.rng = rng
        for event in events:
            handle_event(node, event)
        complete_step(node)
        actions = node.actions
        node.actions = []
        return actions

    def status(self) -> CoreStatus:
        """Return the status of the member."""
        node = self._node
        return CoreStatus(
            member_id=node.member_id,
            role=node.role,
            term=node.term,
            leader=node.leader,
            members=node.members.latest,
            base_index=node.log.base_index,
            last_index=node.log.last_index,
            persisted_index=node.durability.persisted_index,
            commit_index=node.commit_index,
            delivered_index=node.delivered_index,
        )

    def lease_until(self) -> float:
        """Return the end of the leader lease; ``-inf`` if this is no leader."""
        node = self._node
        if node.leadership is None:
            return -math.inf
        return lease_until(node, node.leadership)

    def contact_ages(self) -> dict[str, float]:
        """Return, on a leader, the seconds since last contact with each member.

        Counted from when the leader sent the last message that the member has
        acknowledged, but at most since the election of this leader. A learner
        that has never replied is left out: it has only just been added.
        """
        node = self._node
        leadership = node.leadership
        if leadership is None:
            return {}
        return {
            member_id: node.now
            - max(progress.contact_at, leadership.elected_at)
            for member_id, progress in leadership.progress.items()
            if member_id != node.member_id
            and (member_id in node.voters or progress.contact_at > 0)
        }

    def members_at(self, index: int) -> Members:
        """Return the members as of ``index``, the log's base or later."""
        return self._node.members.at(index)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; ``None`` if it is not in the log."""
        return self._node.log.term_at(index)
