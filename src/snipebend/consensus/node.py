"""The state of one member and the operations common to all roles."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from snipebend.consensus.actions import (
    Action,
    Commit,
    InstallSnapshot,
    Role,
    RoleChanged,
    Send,
)
from snipebend.consensus.durability import Durability
from snipebend.consensus.log import ReplicatedLog
from snipebend.consensus.members import (
    MembersHistory,
    find_member,
    voter_ids,
)
from snipebend.consensus.messages import Envelope
from snipebend.consensus.records import HardState
from snipebend.consensus.restored_log import usable_entries
from snipebend.errors.hierarchy import CorruptionError

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from snipebend.consensus.config import CoreConfig, RestoredState
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.messages import PeerMessage
    from snipebend.consensus.records import LogEntry, Member, SnapshotMeta

#: Upper bound of the random election timeout, as a multiple of the configured
#: one. Two of three members that become candidates within a round trip of some
#: milliseconds split the votes. With the deadlines spread over half of a 0.45 s
#: timeout, that happens in one election out of thirty.
ELECTION_SPREAD = 1.5

#: Share of the election timeout after which a member that has just restarted
#: asks whether all voters have: 0.06 to 0.12 s of a 0.6 s timeout, which is
#: some round trips. After all control daemons were killed, waiting for the end
#: of a lease that no member could hold left entries without a document for
#: 1.0 s; with the short timeout it takes 0.1 s.
FAST_ELECTION_SHARE = 0.1

#: Number of election timeouts for which a member that has just restarted uses
#: the short timeout. A member that stays partitioned then sends requests no
#: more often than others.
FAST_ELECTION_TIMEOUTS = 2


@dataclass(slots=True)
class Node:
    """The state of one member between steps.

    Until ``ignore_candidates_until`` the member ignores candidates, because it
    received a message from a leader, or may have before a restart.
    ``delivered_index`` is the last committed entry returned for application.
    ``messages_after_sync`` must not be sent before the writes of their step are
    synced.
    """

    cfg: CoreConfig
    member_id: str
    term: int
    voted_for: str | None
    log: ReplicatedLog
    members: MembersHistory
    durability: Durability
    rng: random.Random
    now: float
    election_due_at: float
    ignore_candidates_until: float
    commit_index: int
    delivered_index: int
    role: Role = Role.FOLLOWER
    leader_id: str | None = None
    leadership: Leadership | None = None
    votes: set[str] = field(default_factory=set)
    #: End of the short election timeouts after a restart without a leader.
    fast_election_until: float = -math.inf
    #: Has had no contact with a leader, and has not led, since the start.
    restarted: bool = True
    #: Voters that reported a restart; ``None`` if a voter did not restart.
    restarted_voters: set[str] | None = field(default_factory=set)
    installing_snapshot: SnapshotMeta | None = None
    install_action: InstallSnapshot | None = None
    actions: list[Action] = field(default_factory=list)
    messages_after_sync: list[Envelope] = field(default_factory=list)
    announced_role: RoleChanged | None = None

    def emit(self, action: Action) -> None:
        """Add an action to the result of this step."""
        self.actions.append(action)

    def send(self, target: str, message: PeerMessage) -> None:
        """Send a message that does not depend on any write."""
        self.emit(Send(Envelope(self.member_id, target, message)))

    def send_after_sync(self, target: str, message: PeerMessage) -> None:
        """Send a message once all changes of this step are synced."""
        self.messages_after_sync.append(
            Envelope(self.member_id, target, message)
        )

    @property
    def voters(self) -> tuple[str, ...]:
        """The ids of the voters as of the last entry."""
        return voter_ids(self.members.latest)

    @property
    def leader(self) -> Member | None:
        """The current leader, if it is known and a member."""
        return find_member(self.members.latest, self.leader_id)

    def enter_term(self, term: int, voted_for: str | None) -> None:
        """Enter a term or cast the vote in it."""
        self.term = term
        self.voted_for = voted_for
        self.durability.mark_hard_state_changed()

    @property
    def is_checking_restarts(self) -> bool:
        """Return whether to ask if all voters restarted, so none leads."""
        is_in_period = self.now < self.ignore_candidates_until
        return (
            is_in_period
            and self.restarted
            and self.restarted_voters is not None
        )

    def reset_election_timer(self) -> None:
        """Set a random election deadline, so that few candidates collide."""
        timeout_s = self.cfg.election_timeout_s
        if self.is_checking_restarts or self._uses_fast_elections:
            timeout_s *= FAST_ELECTION_SHARE
        latest = ELECTION_SPREAD * timeout_s
        self.election_due_at = self.now + self.rng.uniform(timeout_s, latest)

    @property
    def _uses_fast_elections(self) -> bool:
        """Return whether this member still uses short timeouts after a restart.

        Several voters may have restarted at the same time, and some of them may
        not come back. Then no member learns that all have restarted, and a
        majority suffices once all leases from before have expired.
        """
        is_in_period = (
            self.ignore_candidates_until <= self.now < self.fast_election_until
        )
        return (
            is_in_period
            and self.restarted
            and self.restarted_voters is not None
        )

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Append entries that follow the end of the log."""
        added = tuple(entries)
        if added:
            self.log.append(added)
            self.members.append(added)
            self.durability.mark_entries_changed(added[0].index)

    def truncate_from(self, index: int) -> None:
        """Drop entries that the leader's log does not contain.

        Raises ``CorruptionError`` if one of them is committed.
        """
        if index <= self.commit_index:
            raise CorruptionError(
                f'refusing to truncate the log at committed entry {index} '
                + f'(commit index {self.commit_index})',
                step='append',
                peer=self.leader_id or '',
            )
        self.log.truncate_from(index)
        self.members.truncate_from(index)
        self.durability.mark_entries_changed(index)

    def deliver_committed(self) -> tuple[LogEntry, ...]:
        """Emit newly committed entries for application, and return them.

        They need not be synced by this member, because a majority has them.
        When it waited for its own disk, a leader with a stalled disk sent no
        replies (for 4 s in the test schedule that revealed this) while the
        other members made progress.
        """
        last = self.commit_index
        if last <= self.delivered_index or self.installing_snapshot is not None:
            return ()
        entries = self.log.between(self.delivered_index + 1, last)
        self.delivered_index = last
        self.emit(Commit(entries))
        return entries

    def write(self) -> None:
        """Emit the writes of this step; queue messages that depend on them."""
        hard_state = HardState(self.term, self.voted_for)
        action = self.durability.write(self.log, hard_state)
        if action is not None:
            self.emit(action)
        if self.install_action is not None:
            # Last, because the entries written before belong to the old log.
            self.emit(self.install_action)
            self.install_action = None
        for envelope in self.messages_after_sync:
            self.durability.withhold(envelope)
        self.messages_after_sync.clear()

    def announce_role(self) -> None:
        """Emit ``RoleChanged`` if role, term or leader have changed."""
        current = RoleChanged(self.role, self.term, self.leader)
        if current != self.announced_role:
            self.announced_role = current
            self.emit(current)


def restore_node(
    cfg: CoreConfig,
    member_id: str,
    restored: RestoredState,
    now: float,
    rng: random.Random,
    process_started_at: float,
) -> Node:
    """Create a follower from the state read from disk.

    ``process_started_at`` is the start of this process, which has not replied
    to any leader before that.

    Raises ``CorruptionError`` if the entries do not follow the snapshot or,
    without a snapshot, do not start at index 1.
    """
    snapshot = restored.snapshot
    start = snapshot.index if snapshot else 0
    entries = usable_entries(snapshot, restored.entries)
    if entries and entries[0].index != start + 1:
        raise CorruptionError(
            f'log starts at index {entries[0].index} instead of {start + 1}',
            step='restore',
        )
    members = snapshot.members if snapshot else restored.members
    history = MembersHistory(start, members)
    history.append(entries)
    log = ReplicatedLog(start, snapshot.term if snapshot else 0, entries)
    node = Node(
        cfg=cfg,
        member_id=member_id,
        term=restored.hard_state.term,
        voted_for=restored.hard_state.voted_for,
        log=log,
        members=history,
        durability=Durability(log.last_index),
        rng=rng,
        now=now,
        election_due_at=now,
        # The previous process may have acknowledged a leader until its end.
        ignore_candidates_until=process_started_at + cfg.election_timeout_s,
        fast_election_until=process_started_at
        + (1 + FAST_ELECTION_TIMEOUTS) * cfg.election_timeout_s,
        commit_index=start,
        delivered_index=start,
    )
    node.reset_election_timer()
    return node
