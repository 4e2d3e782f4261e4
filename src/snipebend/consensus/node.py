"""The state of one member and the steps that every role shares."""

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
from snipebend.consensus.restoring import usable_entries
from snipebend.errors.hierarchy import CorruptionError

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from snipebend.consensus.config import CoreConfig, Restored
    from snipebend.consensus.leadership import Leadership
    from snipebend.consensus.messages import PeerMessage
    from snipebend.consensus.records import LogEntry, Member, SnapshotMeta

#: Bound of the random election deadline, in election timeouts. Two members that
#: stand within a round trip of some milliseconds split the votes of three; over
#: half a timeout of 0.45 s that is one election in thirty.
ELECTION_SPREAD = 1.5

#: Share of the election timeout after which a member that has just restarted
#: asks whether all have: of 0.6 s 0.06 to 0.12 s, some round trips. After all
#: control daemons were killed, waiting for the end of a lease that nobody can
#: hold kept entries without a document for 1.0 s; now it is 0.1 s.
RESTARTED_SHARE = 0.1

#: Election timeouts for which a member that has just restarted asks so often:
#: one that stays cut off asks no more than others do.
HASTY_FOR = 2


@dataclass(slots=True)
class Node:
    """One member's state between steps.

    ``quiet_until`` is the deadline until which the member ignores candidates,
    because it heard from a leader (or might have, before a restart).
    ``promises`` are messages that must not precede the writes of their step.
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
    election_at: float
    quiet_until: float
    commit_index: int
    handed_out: int
    role: Role = Role.FOLLOWER
    leader_id: str | None = None
    leadership: Leadership | None = None
    votes: set[str] = field(default_factory=set)
    #: Until when a member that heard from no leader since its start is hasty.
    hasty_until: float = -math.inf
    #: Heard from no leader, and led nobody, since the start.
    restarted: bool = True
    #: Voters that said so of themselves; none: one of them said otherwise.
    restarted_voters: set[str] | None = field(default_factory=set)
    installing: SnapshotMeta | None = None
    to_install: InstallSnapshot | None = None
    actions: list[Action] = field(default_factory=list)
    promises: list[Envelope] = field(default_factory=list)
    announced: RoleChanged | None = None

    def emit(self, action: Action) -> None:
        """Ask the shell for something."""
        self.actions.append(action)

    def send(self, target: str, message: PeerMessage) -> None:
        """Send a message that promises nothing."""
        self.emit(Send(Envelope(self.member_id, target, message)))

    def promise(self, target: str, message: PeerMessage) -> None:
        """Send a message once all that this step changes is synced."""
        self.promises.append(Envelope(self.member_id, target, message))

    @property
    def voters(self) -> tuple[str, ...]:
        """The identities that vote, as of the last entry."""
        return voter_ids(self.members.latest)

    @property
    def leader(self) -> Member | None:
        """The known leader, if it is a known member."""
        return find_member(self.members.latest, self.leader_id)

    def enter_term(self, term: int, voted_for: str | None) -> None:
        """Enter a term or cast its vote."""
        self.term = term
        self.voted_for = voted_for
        self.durability.note_hard_state()

    @property
    def may_all_have_restarted(self) -> bool:
        """Tell whether to ask if every voter restarted, and so nobody leads."""
        waits = self.now < self.quiet_until
        return waits and self.restarted and self.restarted_voters is not None

    def defer_election(self) -> None:
        """Draw a new election deadline, spread so that few collide."""
        span = self.cfg.election_timeout_s
        if self.may_all_have_restarted or self._is_hasty:
            span *= RESTARTED_SHARE
        latest = ELECTION_SPREAD * span
        self.election_at = self.now + self.rng.uniform(span, latest)

    @property
    def _is_hasty(self) -> bool:
        """Tell whether most of the voters may wait for a leader as well.

        Several may have restarted together, and some of them not come back:
        then nobody tells that all have, and a majority suffices once no lease
        of before can be left.
        """
        waits = self.quiet_until <= self.now < self.hasty_until
        return waits and self.restarted and self.restarted_voters is not None

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Add entries that follow the log's end."""
        added = tuple(entries)
        if added:
            self.log.append(added)
            self.members.append(added)
            self.durability.note_entries(added[0].index)

    def truncate_from(self, index: int) -> None:
        """Drop entries that the leader's log doesn't have.

        Raises ``CorruptionError`` for a committed entry.
        """
        if index <= self.commit_index:
            raise CorruptionError(
                f'entry {index} is committed and would be dropped',
                step='append',
                peer=self.leader_id or '',
            )
        self.log.truncate_from(index)
        self.members.truncate_from(index)
        self.durability.note_entries(index)

    def hand_out(self) -> tuple[LogEntry, ...]:
        """Hand out what is committed, and give it back.

        It needn't be synced here: a majority holds it. Waiting for the own
        disk, a leader whose disk stalls answered nobody, 4 s in the schedule
        that showed it, while the others went on.
        """
        last = self.commit_index
        if last <= self.handed_out or self.installing is not None:
            return ()
        entries = self.log.between(self.handed_out + 1, last)
        self.handed_out = last
        self.emit(Commit(entries))
        return entries

    def write(self) -> None:
        """Emit the writes of this step, then its promises or hold them."""
        hard_state = HardState(self.term, self.voted_for)
        action = self.durability.write(self.log, hard_state)
        if action is not None:
            self.emit(action)
        if self.to_install is not None:
            # Last: entries that were written before it belong to the old log.
            self.emit(self.to_install)
            self.to_install = None
        for envelope in self.promises:
            self.durability.withhold(envelope)
        self.promises.clear()

    def announce_role(self) -> None:
        """Tell the shell when role, term or leader differ from before."""
        current = RoleChanged(self.role, self.term, self.leader)
        if current != self.announced:
            self.announced = current
            self.emit(current)


def restore_node(
    cfg: CoreConfig,
    member_id: str,
    restored: Restored,
    now: float,
    rng: random.Random,
    began_at: float,
) -> Node:
    """Build a follower from what its disk held.

    ``began_at`` is when its process began, which has promised nothing before.

    Raises ``CorruptionError`` when the entries don't follow the snapshot, or
    without one the empty log.
    """
    snapshot = restored.snapshot
    start = snapshot.index if snapshot else 0
    entries = usable_entries(snapshot, restored.entries)
    if entries and entries[0].index != start + 1:
        raise CorruptionError(
            f'the log starts at {entries[0].index} instead of {start + 1}',
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
        election_at=now,
        # Its last process may have promised a leader to wait this long.
        quiet_until=began_at + cfg.election_timeout_s,
        hasty_until=began_at + (1 + HASTY_FOR) * cfg.election_timeout_s,
        commit_index=start,
        handed_out=start,
    )
    node.defer_election()
    return node
