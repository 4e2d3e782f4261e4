"""The pure core of log replication: events in, actions out.

The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable
Consensus Algorithm", 2014) with the pre-vote, the check-quorum, the lease, the
one-at-a-time changes of members and the hand-over of Ongaro's dissertation
("Consensus: Bridging Theory and Practice", 2014).
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from snipebend.consensus.dispatch import take_in
from snipebend.consensus.node import restore_node
from snipebend.consensus.reads import lease_until
from snipebend.consensus.settling import settle

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from snipebend.consensus.actions import Action, Role
    from snipebend.consensus.config import CoreConfig, Restored
    from snipebend.consensus.events import Event
    from snipebend.consensus.records import Member, Members


class CoreStatus(NamedTuple):
    """What a state dump shows of a member."""

    member_id: str
    role: Role
    term: int
    leader: Member | None
    members: Members
    base_index: int
    last_index: int
    persisted_index: int
    commit_index: int
    handed_out: int


class Core:
    """One member of a group that agrees on a log.

    It has no clock, random source or I/O of its own. ``now`` is in seconds of
    a clock that never goes back; its rate may differ from true time by
    ``clock_drift`` at most.
    """

    def __init__(
        self,
        cfg: CoreConfig,
        member_id: str,
        restored: Restored,
        now: float,
        rng: random.Random,
        began_at: float | None = None,
    ) -> None:
        """Start as a follower from what the disk held.

        ``began_at`` is when this process began, by the same clock; none: now.
        """
        began_at = now if began_at is None else began_at
        self._node = restore_node(cfg, member_id, restored, now, rng, began_at)

    def step(
        self, event: Event, now: float, rng: random.Random
    ) -> list[Action]:
        """Take in one event; do the returned actions in order."""
        return self.step_all((event,), now, rng)

    def step_all(
        self, events: Iterable[Event], now: float, rng: random.Random
    ) -> list[Action]:
        """Take in several events at once, which batches what they cause.

        Raises ``CorruptionError`` when a rule that replication rests on is
        seen broken; the process must then stop rather than answer anybody.
        """
        node = self._node
        node.now = now
        node.rng = rng
        for event in events:
            take_in(node, event)
        settle(node)
        actions = node.actions
        node.actions = []
        return actions

    def status(self) -> CoreStatus:
        """Describe the member."""
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
            handed_out=node.handed_out,
        )

    def lease_until(self) -> float:
        """Return until when nobody else can lead; the past on a follower."""
        node = self._node
        if node.leadership is None:
            return -math.inf
        return lease_until(node, node.leadership)

    def silences(self) -> dict[str, float]:
        """Return, on a leader, how long each other member has been silent.

        In seconds since the last message that it is known to have taken in;
        nobody counts as silent for longer than this leadership lasts. A
        learner that was never heard has only just been taken in, and is left
        out.
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
        """Give the members as of ``index``, from the log's base on."""
        return self._node.members.at(index)

    def term_at(self, index: int) -> int | None:
        """Give the term of an entry that is in the log or its base."""
        return self._node.log.term_at(index)
