"""Guards against lost commits, early replies and needless waits in Raft.

A wrong rule shows only in certain sequences of events: a vote that is sent
before it is synced, a message for an earlier identity, an election while a
lease may still be held, a stalled disk, or a leader that is cut off or hands
over. Each test feeds one such sequence to one member or to a group of three.
"""

from __future__ import annotations

import random
import unittest
from typing import TypeVar

from snipebend.consensus import actions as act
from snipebend.consensus import events as evt
from snipebend.consensus import messages as msg
from snipebend.consensus.config import CoreConfig, RestoredState
from snipebend.consensus.core import Core
from snipebend.consensus.node import FAST_ELECTION_TIMEOUTS
from snipebend.consensus.records import (
    EntryKind,
    HardState,
    LogEntry,
    Member,
    Members,
    SnapshotMeta,
)
from snipebend.consensus.restored_log import usable_entries
from tests.consensus.world import SimulatedVm, World

CFG = CoreConfig(heartbeat_s=0.1, election_timeout_s=1, snapshot_retry_s=1)
FOUNDERS = Members(tuple(Member(one, one, '') for one in 'abc'))
RNG = random.Random(7)
Found = TypeVar('Found')


def _entry(index: int, term: int, payload: bytes = b'') -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, payload)


def _core(
    *entries: LogEntry, term: int = 1, process_started_at: float | None = None
) -> Core:
    restored = RestoredState(HardState(term), None, entries, FOUNDERS)
    core = Core(CFG, 'a', restored, 0, RNG, process_started_at)
    core.step(evt.Tick(), 0, RNG)
    return core


def _feed(
    core: Core, message: msg.PeerMessage, now: float, source: str = 'b'
) -> list[act.Action]:
    envelope = msg.Envelope(source, 'a', message)
    return core.step(evt.Received(envelope), now, RNG)


def _sent(actions: list[act.Action]) -> list[msg.PeerMessage]:
    return [
        one.envelope.message for one in actions if isinstance(one, act.Send)
    ]


def _only(found: list[Found]) -> Found:
    assert len(found) == 1, found
    return found[0]


class RestartTest(unittest.TestCase):
    """After a restart of all voters an election need not wait for a lease.

    It must wait if a single voter did not restart, or has received a heartbeat
    since: that voter may still support the lease of a leader.
    """

    def _assert_restart_probe(self, core: Core) -> None:
        """Check that the member asks whether the other voters restarted."""
        sent = _sent(core.step(evt.Tick(), 0.25, RNG))
        self.assertEqual(sent, 2 * [msg.PreVoteRequest(2, 1, 1, True)])

    def _starts_election(self, actions: list[act.Action]) -> bool:
        return any(isinstance(one, act.Persist) for one in actions)

    def test_election_starts_once_every_voter_reported_a_restart(self) -> None:
        core = _core(_entry(1, 1))
        self._assert_restart_probe(core)
        agreed = msg.PreVoteReply(2, granted=True, restarted=True)
        self.assertFalse(self._starts_election(_feed(core, agreed, 0.26)))
        self.assertTrue(
            self._starts_election(_feed(core, agreed, 0.26, source='c'))
        )

    def test_no_early_election_if_a_voter_did_not_restart(self) -> None:
        core = _core(_entry(1, 1))
        self._assert_restart_probe(core)
        agreed = msg.PreVoteReply(2, granted=True, restarted=True)
        _feed(core, msg.PreVoteReply(1, granted=False), 0.26)
        self.assertFalse(
            self._starts_election(_feed(core, agreed, 0.26, source='c'))
        )
        # From here on it uses the usual election timeout.
        self.assertEqual(_sent(core.step(evt.Tick(), 0.9, RNG)), [])

    def test_no_early_vote_after_contact_with_a_leader(self) -> None:
        core = _core(_entry(1, 1))
        request = msg.VoteRequest(3, 1, 1, restarted=True)
        heartbeat = msg.AppendRequest(2, 1, 1, 0, 1)
        _feed(core, heartbeat, 0.1, source='c')
        self.assertEqual(_feed(core, request, 0.2), [])
        early = _core(_entry(1, 1))
        self.assertTrue(self._starts_election(_feed(early, request, 0.2)))

    def test_reply_to_a_restart_probe_does_not_count_later(self) -> None:
        core = _core(_entry(1, 1))
        self._assert_restart_probe(core)
        core.step(evt.Tick(), 3.5, RNG)
        late = msg.PreVoteReply(2, granted=True, restarted=True)
        self.assertFalse(self._starts_election(_feed(core, late, 3.6)))
        usual = msg.PreVoteReply(2, granted=True)
        self.assertTrue(self._starts_election(_feed(core, usual, 3.6)))


class EarlierProcessStartTest(unittest.TestCase):
    """The lease granted by the previous process expired during startup.

    Waiting for it again would leave the group without a leader for longer.
    """

    def test_a_majority_suffices_for_an_election(self) -> None:
        """Two of five members lost their disks and cannot report a restart."""
        core = _core(_entry(1, 1), process_started_at=-CFG.election_timeout_s)
        sent = _sent(core.step(evt.Tick(), 0.25, RNG))
        self.assertEqual(sent, 2 * [msg.PreVoteRequest(2, 1, 1)])
        agreed = msg.PreVoteReply(2, granted=True)
        started = _feed(core, agreed, 0.26)
        self.assertTrue(any(isinstance(one, act.Persist) for one in started))

    def test_vote_is_granted_immediately(self) -> None:
        request = msg.PreVoteRequest(2, 1, 1)
        granted = msg.PreVoteReply(2, granted=True)
        started_before = _core(
            _entry(1, 1), process_started_at=-CFG.election_timeout_s
        )
        self.assertEqual(_sent(_feed(started_before, request, 0.01)), [granted])
        just_started = _core(_entry(1, 1))
        rejected = msg.PreVoteReply(1, granted=False)
        self.assertEqual(_sent(_feed(just_started, request, 0.01)), [rejected])

    def test_partitioned_member_returns_to_the_usual_timeout(self) -> None:
        core = _core(_entry(1, 1), process_started_at=-CFG.election_timeout_s)
        moments = [0.01 * number for number in range(1000)]
        sent = [
            moment
            for moment in moments
            if _sent(core.step(evt.Tick(), moment, RNG))
        ]
        usual = [at for at in sent if at > FAST_ELECTION_TIMEOUTS]
        self.assertLessEqual(len(usual), 8)


class FollowerTest(unittest.TestCase):
    """The replies of a single member.

    A reply that is too early or from the wrong identity can give a term two
    leaders, or make a leader count an entry that the member does not hold.
    """

    def test_a_vote_waits_for_its_write(self) -> None:
        """The reply is sent only after term and vote are synced."""
        core = _core()
        sent = _feed(core, msg.VoteRequest(2, 0, 0), 5)
        self.assertEqual(_sent(sent), [])
        write = _only([one for one in sent if isinstance(one, act.Persist)])
        self.assertEqual(write.hard_state, HardState(2, 'b'))
        synced = core.step(evt.Persisted(write.sequence), 5, RNG)
        self.assertEqual(_sent(synced), [msg.VoteReply(2, granted=True)])
        other = _feed(core, msg.VoteRequest(2, 9, 1), 5, source='c')
        self.assertEqual(_sent(other), [msg.VoteReply(2, granted=False)])

    def test_candidates_are_ignored_while_a_lease_may_be_held(
        self,
    ) -> None:
        """After a restart and after a heartbeat, except in a hand-over."""
        core = _core()
        request = msg.VoteRequest(2, 5, 1)
        self.assertEqual(_feed(core, request, 0.9, 'c'), [])
        _feed(core, msg.AppendRequest(1, 0, 0, 0, 1), 2)
        self.assertEqual(_feed(core, request, 2.9, 'c'), [])
        sent = _sent(_feed(core, msg.PreVoteRequest(2, 5, 1), 2.9, 'c'))
        self.assertEqual(sent, [msg.PreVoteReply(1, granted=False)])
        handed = msg.VoteRequest(2, 5, 1, hand_over=True)
        self.assertEqual(len(_feed(core, handed, 2.9, 'c')), 2)

    def test_conflict_hint_skips_a_whole_term(self) -> None:
        """The hint skips all entries of the conflicting term."""
        entries = [_entry(1, 1), *(_entry(at, 3) for at in range(2, 40))]
        core = _core(*entries, term=3)
        request = msg.AppendRequest(4, 39, 2, 0, 1)
        actions = _feed(core, request, 0)
        write = _only([one for one in actions if isinstance(one, act.Persist)])
        reply = _only(_sent(core.step(evt.Persisted(write.sequence), 0, RNG)))
        self.assertEqual((reply.hint_index, reply.hint_term), (1, 1))

    def test_messages_for_another_identity_are_dropped(self) -> None:
        """A new identity must not reply for the old one at its address."""
        core = _core()
        envelope = msg.Envelope('b', 'a-before', msg.VoteRequest(9, 9, 9))
        self.assertEqual(core.step(evt.Received(envelope), 5, RNG), [])

    def test_snapshot_is_installed_after_the_writes_of_its_step(self) -> None:
        """Otherwise entries of the old log would follow the snapshot."""
        meta = SnapshotMeta(9, 1, FOUNDERS)
        messages = (
            msg.AppendRequest(1, 0, 0, 0, 1, (_entry(1, 1),)),
            msg.SnapshotRequest(1, meta, b'', 1),
        )
        events = [
            evt.Received(msg.Envelope('b', 'a', message))
            for message in messages
        ]
        disk = (act.Persist, act.InstallSnapshot)
        actions = _core().step_all(events, 1, RNG)
        writes = [type(one) for one in actions if isinstance(one, disk)]
        self.assertEqual(writes, list(disk))

    def test_log_replaced_by_a_snapshot_is_dropped(self) -> None:
        """Entries are valid only if the log has the snapshot's last one."""
        log = [_entry(at, 1) for at in range(3, 8)]
        for index, term, kept in ((5, 1, 2), (5, 2, 0), (9, 1, 0), (2, 1, 5)):
            meta = SnapshotMeta(index, term, FOUNDERS)
            with self.subTest(index=index, term=term):
                self.assertEqual(len(usable_entries(meta, log)), kept)


class GroupTest(unittest.TestCase):
    """A group of three members under cuts, crashes, stalls and hand-overs."""

    def setUp(self) -> None:
        """Wait until the group has elected a leader."""
        self.world = World(3, CFG, 3)
        self.world.run_until(4)
        self.leader = _only(self.world.leaders())

    def followers(self) -> list[SimulatedVm]:
        """Return the VMs that are not the leader."""
        return [one for one in self.world.vms if one is not self.leader]

    def run_for(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.world.run_until(self.world.now + seconds)

    def test_hand_over_elects_without_a_timeout(self) -> None:
        """Another member leads at once; proposals are rejected meanwhile."""
        before = self.world.propose(self.leader)
        self.world.feed(self.leader, evt.HandOver())
        rejected = self.world.propose(self.leader)
        self.run_for(0.2)
        successor = _only(self.world.leaders())
        self.assertIsNot(successor, self.leader)
        self.assertIsInstance(
            self.world.outcomes[before], act.ProposalCommitted
        )
        self.assertEqual(
            self.world.outcomes[rejected], act.RejectReason.HANDING_OVER
        )

    def test_hand_over_ends_at_its_deadline(self) -> None:
        """Proposals are accepted again if the successor starts no election."""
        self.world.feed(self.leader, evt.HandOver())
        successor = self.leader.core._node.leadership.successor
        self.world.is_cut = lambda source, target: successor.startswith(target)
        self.run_for(1.5)
        later = self.world.propose(self.leader)
        self.run_for(0.5)
        self.assertIsInstance(self.world.outcomes[later], act.ProposalCommitted)

    def test_isolated_leader_reports_unknown_then_not_leader(self) -> None:
        """Appended entries may still commit; rejected proposals never do."""
        isolated = self.leader.name
        self.world.is_cut = lambda source, target: isolated in {source, target}
        appended = self.world.propose(self.leader)
        self.run_for(2)
        rejected = self.world.propose(self.leader)
        self.assertEqual(
            [self.world.outcomes[one] for one in (appended, rejected)],
            [act.RejectReason.UNKNOWN, act.RejectReason.NOT_LEADER],
        )

    def test_stalled_disk_of_the_leader_delays_no_commit(self) -> None:
        """Entries synced by the followers are committed, reported and read."""
        self.leader.sync_done_at = self.world.now + 5
        proposed = self.world.propose(self.leader)
        self.run_for(0.2)
        self.assertIsInstance(
            self.world.outcomes[proposed], act.ProposalCommitted
        )
        self.world.read(self.leader)
        self.run_for(0.2)
        self.assertEqual(self.leader.reads, {})
        self.assertIn(self.leader, self.world.leaders())

    def test_entries_applied_before_their_sync_survive_a_crash(self) -> None:
        """The followers have them; the member receives them again."""
        self.leader.sync_done_at = self.world.now + 5
        proposed = self.world.propose(self.leader)
        self.run_for(0.2)
        applied = self.leader.applied
        self.world.crash(self.leader)
        self.world.start(self.leader)
        self.leader.sync_done_at = 0
        self.run_for(3)
        self.assertIsInstance(
            self.world.outcomes[proposed], act.ProposalCommitted
        )
        self.assertGreaterEqual(self.leader.applied, applied)

    def test_messages_of_non_members_do_not_affect_the_leader(self) -> None:
        """Replies and vote requests of a non-member change nothing."""
        before = self.leader.core.status()
        target = self.leader.member.member_id
        for message in (
            msg.AppendReply(99, success=False, round_number=0),
            msg.VoteRequest(99, 99, 99),
        ):
            envelope = msg.Envelope('gone', target, message)
            self.world.feed(self.leader, evt.Received(envelope))
        self.assertEqual(self.leader.core.status(), before)

    def test_restarted_member_catches_up_by_a_snapshot(self) -> None:
        """The log entries that it misses were dropped while it was down."""
        down = self.followers()[0]
        self.world.crash(down)
        for _ in range(30):
            self.world.propose(self.leader)
            self.run_for(0.05)
        self.world.take_snapshot(self.leader)
        self.world.start(down)
        self.run_for(1)
        self.assertIsNotNone(down.disk.snapshot)
        self.assertGreaterEqual(down.applied, 31)

    def test_learner_is_promoted_only_after_it_has_caught_up(self) -> None:
        """An unresponsive learner is not promoted; one with all entries is."""
        learner = Member('h9-0', 'h9', '')
        self._change('add', evt.AddLearner(learner))
        self.run_for(0.5)
        self._change('early', evt.PromoteLearner('h9-0'))
        self.world.add_vm(learner, Members())
        self.run_for(1)
        self._change('late', evt.PromoteLearner('h9-0'))
        again = self._change('again', evt.RemoveMember('h9-0'))
        self.run_for(0.5)
        self.assertEqual(
            self.world.outcomes['early'], act.RejectReason.NOT_CAUGHT_UP
        )
        self.assertEqual(again, act.RejectReason.CHANGE_IN_PROGRESS)
        self.assertIsInstance(
            self.world.outcomes['late'], act.ProposalCommitted
        )

    def test_removed_leader_is_succeeded_by_a_member(self) -> None:
        """It leads until its removal is committed, then steps down."""
        self._change('out', evt.RemoveMember(self.leader.member.member_id))
        self.run_for(0.5)
        self.assertIsInstance(self.world.outcomes['out'], act.ProposalCommitted)
        successor = _only(self.world.leaders())
        self.assertIsNot(successor, self.leader)

    def _change(self, proposal_id: str, change: evt.MembersChange) -> object:
        event = evt.MembersProposed(proposal_id, change)
        self.world.feed(self.leader, event)
        return self.world.outcomes.get(proposal_id)
