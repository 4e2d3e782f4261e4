"""Paths through the request machine that the search does not check.

A caller disconnects while its work runs, a seal or settlement gets no reply, a
chunk is missing, or a stream breaks and is resumed. The caller must not get a
wrong outcome, and non-repeatable work must not run again.
"""

from __future__ import annotations

import unittest
from random import Random
from typing import TYPE_CHECKING

from snipebend.delivery.actions import (
    AbortResponse,
    AskRetry,
    CancelAttempt,
    ChooseUpstream,
    Refuse,
    RelayChunk,
    RelayHead,
    Seal,
    SendAttempt,
    SetTimer,
    Settle,
)
from snipebend.delivery.attempt_events import (
    AttemptBroken,
    AttemptFinished,
    AttemptRefused,
    AttemptStarted,
    ChunkArrived,
)
from snipebend.delivery.claim_events import (
    ClaimAnswered,
    SealAnswered,
    SealFailed,
    SettleFailed,
)
from snipebend.delivery.events import (
    Arrived,
    CallerDisconnected,
    DeadlineReached,
    RetryDenied,
    RetryGranted,
    UpstreamChosen,
)
from snipebend.delivery.facts import RequestFacts, Target
from snipebend.delivery.limits import DeliveryLimits
from snipebend.delivery.messages import (
    RefusalReason,
    SealReply,
    SealVerdict,
)
from snipebend.delivery.outcomes import Outcome
from snipebend.delivery.request_machine import RequestMachine
from snipebend.state.claims import (
    ClaimReply,
    ClaimVerdict,
    Holder,
    Settlement,
)

if TYPE_CHECKING:
    from snipebend.delivery.actions import Action
    from snipebend.delivery.events import Event

TARGET = Target('u1', 4, 'h:1', 'g:1')
GRANTED = ClaimAnswered(1, ClaimReply(ClaimVerdict.GRANTED))
HOLDER = Holder('other', 2, 'e2', 'u2', 'g:2', 5, 90)
IN_PROGRESS = ClaimReply(ClaimVerdict.IN_PROGRESS, HOLDER)


def _facts(*, repeatable: bool = False, key: str = 'k') -> RequestFacts:
    return RequestFacts(
        'r', 'w', key, 'f', repeatable, True, repeatable, deadline_at=9999
    )


class MachineTest(unittest.TestCase):
    """Each test checks the actions of the machine's last step."""

    def start(self, facts: RequestFacts, *events: Event) -> list[Action]:
        self.machine = RequestMachine(DeliveryLimits('e1', max_deadline_s=60))
        actions = self.machine.step(Arrived(facts), 10, Random(1))
        self.assertEqual(actions, [SetTimer(70), ChooseUpstream(frozenset())])
        return self.then(UpstreamChosen(TARGET), *events)

    def then(self, *events: Event) -> list[Action]:
        for event in events:
            actions = self.machine.step(event, 11, Random(1))
        return actions

    def start_one(self, facts: RequestFacts, *events: Event) -> Action:
        return self.only(self.start(facts, *events))

    def then_one(self, *events: Event) -> Action:
        return self.only(self.then(*events))

    def only(self, actions: list[Action]) -> Action:
        self.assertEqual(len(actions), 1)
        return actions[0]

    def test_a_running_holder_is_reported_at_once(self) -> None:
        seal = self.start_one(_facts(), ClaimAnswered(1, IN_PROGRESS))
        self.assertEqual(seal.grpc_address, 'g:2')
        self.assertEqual(seal.request.deadline_at, 90)
        reply = SealReply(SealVerdict.RUNNING)
        refusal = self.then_one(SealAnswered('other', 2, reply))
        reported = (refusal.status, refusal.outcome)
        self.assertEqual(reported, (409, Outcome.UNKNOWN))
        self.assertGreater(refusal.retry_after, 0)
        self.assertTrue(self.machine.done)

    def test_an_unanswered_seal_leaves_the_claim(self) -> None:
        broken = AttemptBroken(1, sent=True)
        seal = self.start_one(_facts(), GRANTED, broken)
        self.assertIsInstance(seal, Seal)
        refusal = self.then_one(SealFailed('r', 1))
        self.assertIs(refusal.outcome, Outcome.UNKNOWN)
        self.assertTrue(self.machine.done)

    def test_claimed_work_outlives_its_caller(self) -> None:
        head = AttemptStarted(1, 200, {'Content-Type': 'text/plain'})
        self.start(_facts(), GRANTED, head, ChunkArrived(1, 0, b'a'))
        final = self.then_one(CallerDisconnected())
        self.assertIsInstance(final, AbortResponse)
        settle = self.then_one(ChunkArrived(1, 1, b'b'), AttemptFinished(1, 2))
        self.assertIs(settle.request.settlement, Settlement.RAN)
        self.assertEqual(settle.request.answer.body, b'ab')
        self.assertEqual(settle.request.answer.content_type, 'text/plain')
        again = self.then(SettleFailed('r', 1))
        self.assertEqual(again, [settle])
        self.then(SettleFailed('r', 1), SettleFailed('r', 1))
        self.assertTrue(self.machine.done)

    def test_repeatable_work_is_cancelled(self) -> None:
        self.start(_facts(repeatable=True))
        final, cancel = self.then(DeadlineReached())
        self.assertEqual((final.status, final.outcome.value), (504, 'unknown'))
        self.assertEqual(cancel, CancelAttempt(1))
        self.assertTrue(self.machine.done)

    def test_a_stream_is_resumed_at_the_next_chunk(self) -> None:
        head = AttemptStarted(1, 200, {})
        relayed = self.start(
            _facts(repeatable=True), head, ChunkArrived(1, 0, b'a')
        )
        self.assertEqual(relayed, [RelayHead(200, {}), RelayChunk(b'a')])
        asked = self.then(ChunkArrived(1, 2, b'c'), AttemptBroken(1, sent=True))
        self.assertEqual(asked, [AskRetry()])
        choose = self.then_one(RetryGranted())
        self.assertEqual(choose.exclude, frozenset(('u1',)))
        send = self.then_one(UpstreamChosen(TARGET))
        self.assertIsInstance(send, SendAttempt)
        self.assertEqual((send.ticket.attempt, send.ticket.resume_from), (2, 1))
        late = self.then(ChunkArrived(1, 1, b'x'), AttemptFinished(1, 3))
        self.assertEqual(late, [])
        final = self.then_one(AttemptBroken(2, sent=True), RetryDenied(3))
        self.assertIs(final.outcome, Outcome.UNKNOWN)
        self.assertIsInstance(final, AbortResponse)

    def test_a_missing_chunk_aborts_the_response(self) -> None:
        facts = _facts(key='')
        self.start(facts, AttemptStarted(1, 200, {}), ChunkArrived(1, 0, b'a'))
        cancel, final = self.then(AttemptFinished(1, 2))
        self.assertEqual(cancel, CancelAttempt(1))
        self.assertIsInstance(final, AbortResponse)

    def test_a_refused_attempt_is_proved_not_run(self) -> None:
        refused = AttemptRefused(1, RefusalReason.FULL, retry_after=5)
        settle = self.start_one(_facts(), GRANTED, refused)
        self.assertIsInstance(settle, Settle)
        self.assertIs(settle.request.settlement, Settlement.NOT_RUN)
        final = self.then_one(DeadlineReached())
        self.assertIsInstance(final, Refuse)
        self.assertIs(final.outcome, Outcome.NOT_RUN)


if __name__ == '__main__':
    unittest.main()
