"""Guards against decisions that are made twice, or change after a restart.

Operators, entries and coordinators send commands concurrently, resend them
after a lost reply, and continue with a restored snapshot after a restart. None
of that may change a decision that was already reported.
"""

from __future__ import annotations

import unittest
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from snipebend.console.demo_fleet import FLEET
from snipebend.experts.switch_messages import (
    Abort,
    Bump,
    Decide,
    MapStamp,
    SwitchDecision,
)
from snipebend.state import configuration
from snipebend.state.claims import (
    ClaimRequest,
    ClaimVerdict,
    Holder,
    Settlement,
    SettleRequest,
    StoredAnswer,
)
from snipebend.state.commands import (
    ApplyFleet,
    ChangeEvacuation,
    Claim,
    ClearSuspect,
    Command,
    DecideExpertMap,
    ReportCrash,
    Settle,
    TakeFence,
)
from snipebend.state.crashes import CrashReport, SuspectCleared
from snipebend.state.evacuations import EvacuationOrder
from snipebend.state.expert_maps import MapDecision
from snipebend.state.fences import FenceRequest
from snipebend.state.machine import Machine
from snipebend.state.messages import ApplyOutcome, ApplyRequest

_ANSWER = StoredAnswer(200, 'text/plain', b'done')


def apply(change: str, expected: int, text: str = FLEET) -> ApplyFleet:
    return ApplyFleet(ApplyRequest(change, expected, text), 1)


def evacuate(name: str, evacuated: bool, after: int) -> ChangeEvacuation:
    return ChangeEvacuation(EvacuationOrder(name, evacuated, after), 1)


def claim(
    request: str = 'r', attempt: int = 1, fingerprint: str = 'f', at: float = 1
) -> Claim:
    holder = Holder(request, attempt, 'entry', 'u', '127.0.0.1:1', 7)
    return Claim(ClaimRequest('w', 'k', fingerprint, holder, 100), at)


def settle(
    settlement: Settlement,
    request: str = 'r',
    attempt: int = 1,
    answer: StoredAnswer | None = None,
    key: str = 'k',
) -> Settle:
    req = SettleRequest('w', key, request, attempt, settlement, answer)
    return Settle(req, 2)


def crash(
    upstream: str, *fingerprints: str, alone: bool = False
) -> ReportCrash:
    return ReportCrash(CrashReport(upstream, 1, fingerprints, alone), 1)


def crash_with_parts(number: int, fingerprint: str, *parts: str) -> ReportCrash:
    """Return a crash under a call that began after the one before."""
    report = CrashReport(
        f'u{number}',
        1000 * number + 10,
        (fingerprint,),
        parts={fingerprint: parts},
        began_ms={fingerprint: 1000 * number},
    )
    return ReportCrash(report, 1)


class ConfigurationTest(unittest.TestCase):
    """One of two competing changes wins; a change id has one outcome."""

    def test_race_resend_and_restart(self) -> None:
        machine = Machine()
        other = FLEET.replace('drafter', 'sketcher')
        first = machine.execute(apply('a', 0))
        lost = machine.execute(apply('b', 0, other))
        self.assertEqual(first.outcome, ApplyOutcome.ACCEPTED)
        self.assertEqual(lost.outcome, ApplyOutcome.CONFLICT)
        self.assertIn('drafter', lost.text)
        machine.execute(apply('c', 1, other))
        machine = Machine.decode(machine.encode())
        self.assertEqual(machine.execute(apply('a', 0)), first)
        self.assertEqual(machine.execute(apply('b', 0, other)), lost)
        misused = machine.execute(apply('a', 0, other))
        self.assertEqual(misused.outcome, ApplyOutcome.INVALID)
        self.assertEqual(machine.state.configuration.revision, 2)

    def test_replies_are_removed_after_both_limits(self) -> None:
        state = configuration.ConfigurationState()
        state.answers['old'] = configuration.RecordedReply(
            msgspec.convert(
                {'outcome': 'accepted', 'revision': 1},
                configuration.ApplyReply,
            ),
            0,
            keep_until=50,
        )
        state.revision = configuration.MIN_REPLY_REVISIONS + 1
        state.apply(ApplyRequest('x', 0, FLEET), now=50)
        self.assertIn('old', state.answers)
        state.revision += 1
        state.apply(ApplyRequest('y', 0, FLEET), now=49)
        self.assertIn('old', state.answers)
        state.apply(ApplyRequest('z', 0, FLEET), now=50)
        self.assertNotIn('old', state.answers)


class ClaimTest(unittest.TestCase):
    """At most one attempt of a key may run."""

    def verdicts(self, *commands: Command) -> list[Any]:
        machine = Machine()
        replies: list[Any] = [machine.execute(each) for each in commands]
        return [
            reply.verdict if hasattr(reply, 'verdict') else reply.settlement
            for reply in replies
        ]

    def test_resend_is_granted_again_and_others_are_not(self) -> None:
        self.assertEqual(
            self.verdicts(
                claim(),
                claim(),
                claim(attempt=2),
                claim('s'),
                claim(fingerprint='g'),
            ),
            [
                ClaimVerdict.GRANTED,
                ClaimVerdict.GRANTED,
                ClaimVerdict.IN_PROGRESS,
                ClaimVerdict.IN_PROGRESS,
                ClaimVerdict.MISMATCH,
            ],
        )

    def test_new_attempt_only_after_proof_that_the_last_did_not_run(
        self,
    ) -> None:
        self.assertEqual(
            self.verdicts(
                claim(),
                settle(Settlement.NOT_RUN),
                claim(),
                claim(attempt=2),
                settle(Settlement.UNKNOWN),
                settle(Settlement.UNKNOWN, attempt=2),
                settle(Settlement.NOT_RUN, attempt=2),
                claim('s'),
                settle(Settlement.RAN, attempt=2, answer=_ANSWER),
                settle(Settlement.NOT_RUN, attempt=2),
                claim('s'),
            ),
            [
                ClaimVerdict.GRANTED,
                Settlement.NOT_RUN,
                ClaimVerdict.IN_PROGRESS,
                ClaimVerdict.GRANTED,
                Settlement.NOT_RUN,
                Settlement.UNKNOWN,
                Settlement.UNKNOWN,
                ClaimVerdict.UNKNOWN,
                Settlement.RAN,
                Settlement.RAN,
                ClaimVerdict.RAN,
            ],
        )

    def test_old_answers_are_evicted_but_settlements_kept(self) -> None:
        machine = Machine()
        answer = StoredAnswer(200, 'text/plain', b'x' * 262_144)
        for number in range(40):
            holder = Holder('r', 1, 'entry', 'u', '127.0.0.1:1', 7)
            key = f'k{number}'
            machine.execute(Claim(ClaimRequest('w', key, 'f', holder, 99), 1))
            machine.execute(
                settle(Settlement.RAN, answer=answer, key=key),
            )
        ledger = machine.state.claims.ledgers['w']
        self.assertEqual(len(ledger.answered), 32)
        self.assertIsNone(ledger.claims['k7'].answer)
        self.assertIs(ledger.claims['k7'].settlement, Settlement.RAN)
        self.assertIsNotNone(ledger.claims['k8'].answer)

    def test_claim_is_removed_only_after_its_expiry(self) -> None:
        self.assertEqual(
            self.verdicts(
                claim(),
                claim('s', at=99),
                claim('s', at=50),
                claim('s', at=111),
            ),
            [
                ClaimVerdict.GRANTED,
                ClaimVerdict.IN_PROGRESS,
                ClaimVerdict.IN_PROGRESS,
                ClaimVerdict.GRANTED,
            ],
        )


class CrashTest(unittest.TestCase):
    """Crashing requests are quarantined, others that were running are not.

    An upstream that dies was usually running several requests; each of them
    is reported as a possible cause.
    """

    def test_crashing_request_is_quarantined_and_others_cleared(self) -> None:
        machine = Machine()
        machine.execute(crash('u1', 'poison', 'beside'))
        machine.execute(crash('u1', 'poison', 'beside'))
        listed = machine.execute(crash('u2', 'poison', alone=True))
        until = {one.fingerprint: one for one in listed.suspects}
        self.assertEqual(until['poison'].deaths, 2)
        self.assertGreater(until['poison'].quarantined_until, 1)
        self.assertEqual(until['beside'].quarantined_until, 0)
        machine.execute(ClearSuspect(SuspectCleared('poison', 2), 2))
        machine.execute(ClearSuspect(SuspectCleared('beside', 0), 2))
        left = machine.execute(ClearSuspect(SuspectCleared('beside', 1), 2))
        self.assertEqual([one.fingerprint for one in left.suspects], ['poison'])

    def test_shared_crashes_never_quarantine(self) -> None:
        machine = Machine()
        for number in range(5):
            upstream = f'u{number}'
            machine.execute(crash(upstream, 'a', alone=True))
            listed = machine.execute(crash(upstream, 'b', alone=True))
        self.assertEqual(
            [one.deaths for one in listed.suspects],
            [5, 5],
        )
        quarantines = {
            one.fingerprint: one.quarantined_until for one in listed.suspects
        }
        self.assertEqual(quarantines['b'], 0)

    def test_crash_after_the_quarantine_renews_it_at_once(self) -> None:
        machine = Machine()
        machine.execute(crash('u1', 'p', alone=True))
        machine.execute(crash('u2', 'p', alone=True))
        late = ReportCrash(CrashReport('u3', 1, ('p',), ran_alone=True), 700)
        suspects = machine.execute(late).suspects
        self.assertEqual([one.quarantined_until for one in suspects], [1300])


class CrashingPartTest(unittest.TestCase):
    """A prompt part that crashes upstreams is quarantined, others are not."""

    def test_third_crash_under_unlike_requests(self) -> None:
        machine = Machine()
        for number in range(3):
            listed = machine.execute(
                crash_with_parts(number, f'r{number}', 'part:bad', 'part:a')
            )
            machine.execute(ClearSuspect(SuspectCleared('part:a', 1), 1))
        until = {one.fingerprint: one for one in listed.suspects}
        self.assertGreater(until['part:bad'].quarantined_until, 1)
        self.assertNotIn('part:a', until)

    def test_crashes_under_one_request_blame_no_part(self) -> None:
        machine = Machine()
        for number in range(5):
            listed = machine.execute(crash_with_parts(number, 'r', 'part:a'))
        until = {one.fingerprint: one for one in listed.suspects}
        self.assertEqual(until['part:a'].quarantined_until, 0)

    def test_upstreams_that_fail_together_count_once(self) -> None:
        machine = Machine()
        for number in range(5):
            upstream, request = f'u{number}', f'r{number}'
            report = CrashReport(
                upstream,
                1000 + number,
                (request,),
                parts={request: ('part:a',)},
                began_ms={request: 10 * number},
            )
            listed = machine.execute(ReportCrash(report, 1))
        until = {one.fingerprint: one for one in listed.suspects}
        self.assertEqual(until['part:a'].quarantined_until, 0)

    def test_crashes_with_a_known_cause_blame_nothing_else(self) -> None:
        machine = Machine()
        for number in range(3):
            machine.execute(crash_with_parts(number, f'r{number}', 'part:bad'))
        for number in range(3, 9):
            listed = machine.execute(
                crash_with_parts(number, f'r{number}', 'part:bad', 'part:a')
            )
        until = {one.fingerprint: one for one in listed.suspects}
        self.assertEqual(until['part:a'].quarantined_until, 0)


class FenceAndMapTest(unittest.TestCase):
    """Fences increase; a decision requires the fence in force."""

    def test_take_renew_and_decide(self) -> None:
        machine = Machine()

        def take(holder: str, until: float, at: float, renews: int = 0) -> Any:
            req = FenceRequest('g', holder, until, renews)
            return machine.execute(TakeFence(req, at))

        def decide(version: int, fence: int, digest: str = 'd') -> bool:
            stamp = MapStamp(1, version)
            decision = SwitchDecision(stamp, version * 10, digest, ('r',))
            return change(fence, Decide(decision))

        def change(fence: int, wanted: Decide | Abort | Bump) -> bool:
            req = MapDecision('g', fence, wanted)
            reply: Any = machine.execute(DecideExpertMap(req, 1))
            return bool(reply.accepted)

        self.assertEqual(take('a', 10, 1).fence, 1)
        self.assertFalse(take('b', 20, 5).granted)
        self.assertEqual(take('a', 12, 6, renews=1).fence, 1)
        restarted = take('a', 14, 7)
        self.assertEqual((restarted.fence, restarted.not_before), (2, 12))
        self.assertFalse(
            decide(1, 2), 'accepted before the incarnation was committed'
        )
        self.assertTrue(change(2, Bump(1, 0)))
        self.assertTrue(decide(1, 2))
        self.assertTrue(decide(1, 2))
        self.assertFalse(decide(1, 2, 'other'))
        self.assertFalse(decide(2, 1))
        taken = take('b', 30, 14)
        self.assertEqual(
            (taken.granted, taken.fence, taken.not_before), (True, 3, 14)
        )
        self.assertFalse(decide(2, 2))
        self.assertTrue(change(3, Abort(2)))
        self.assertFalse(decide(2, 3), 'accepted an aborted version')
        self.assertTrue(decide(3, 3))
        self.assertFalse(change(3, Abort(3)), 'aborted a decided version')
        self.assertEqual(machine.state.maps.read('g').record.settled, 3)


_COMMANDS = st.one_of(
    st.builds(
        apply,
        st.sampled_from('abc'),
        st.integers(0, 3),
        st.sampled_from((FLEET, FLEET.replace('drafter', 'other'), '?')),
    ),
    st.builds(
        claim,
        st.sampled_from('rs'),
        st.integers(1, 2),
        st.sampled_from('fg'),
        st.floats(0, 300),
    ),
    st.builds(
        settle,
        st.sampled_from(Settlement),
        st.sampled_from('rs'),
        st.integers(1, 2),
        st.sampled_from((None, _ANSWER)),
    ),
    st.builds(crash, st.sampled_from('uv'), st.sampled_from('pq')),
    st.builds(
        evacuate, st.sampled_from('ab'), st.booleans(), st.integers(0, 6)
    ),
)


class SnapshotTest(unittest.TestCase):
    """A restored snapshot does not change any later reply.

    A field that is missing in the encoded state makes a restarted daemon reply
    differently from the others.
    """

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(_COMMANDS, max_size=20), st.integers(0, 20))
    def test_snapshot_between_any_commands(
        self, commands: list[Any], cut: int
    ) -> None:
        whole = Machine()
        halved = Machine()
        for number, command in enumerate(commands):
            if number == cut:
                halved = Machine.decode(halved.encode())
            self.assertEqual(whole.execute(command), halved.execute(command))
        self.assertEqual(whole.state, halved.state)
