"""Guards against an attempt that runs twice, or beside a suspected request.

A copy of an attempt can arrive after the attempt ended, was refused or was
sealed, and after the guard evicted its record. A seal must then not report that
the attempt did not run. Memory must stay bounded whatever arrives.
"""

from __future__ import annotations

import unittest

from snipebend.delivery.guard import (
    Admitted,
    AttemptGuard,
    GuardLimits,
    Refused,
)
from snipebend.delivery.messages import (
    AttemptTicket,
    RefusalReason,
    SealRequest,
    SealVerdict,
)
from snipebend.state.claims import StoredAnswer

LIMITS = GuardLimits(
    max_running=2, max_records=100, max_answer_bytes=10, retention_s=30
)


def _ticket(
    request_id: str = 'r',
    attempt: int = 1,
    deadline_at: float = 100,
    incarnation: int = 7,
    *,
    keep_answer: bool = True,
    alone: bool = False,
) -> AttemptTicket:
    return AttemptTicket(
        request_id, attempt, incarnation, deadline_at, keep_answer, alone=alone
    )


def _seal(request_id: str = 'r', attempt: int = 1) -> SealRequest:
    return SealRequest(request_id, attempt, 7, 100)


class GuardTest(unittest.TestCase):
    """A guard of incarnation 7 with room for two running attempts."""

    def setUp(self) -> None:
        self.guard = AttemptGuard(7, LIMITS)

    def assert_refused(
        self,
        ticket: AttemptTicket,
        reason: RefusalReason,
        now: float = 0,
    ) -> None:
        self.assertEqual(self.guard.admit(ticket, now), Refused(reason))

    def test_each_attempt_starts_once(self) -> None:
        self.assertEqual(self.guard.admit(_ticket(), 0), Admitted())
        self.assert_refused(_ticket(), RefusalReason.DUPLICATE)
        self.guard.finish('r', 1, None)
        self.assert_refused(_ticket(), RefusalReason.DUPLICATE)
        self.assertEqual(self.guard.admit(_ticket(attempt=3), 0), Admitted())
        self.assert_refused(_ticket(attempt=2), RefusalReason.STALE_ATTEMPT)
        unrelated = _ticket('s', incarnation=6)
        self.assert_refused(unrelated, RefusalReason.WRONG_INCARNATION)

    def test_a_refused_attempt_stays_refused(self) -> None:
        self.guard.admit(_ticket('a'), 0)
        self.guard.admit(_ticket('b'), 0)
        self.assert_refused(_ticket('c'), RefusalReason.FULL)
        self.guard.finish('a', 1, None)
        self.assert_refused(_ticket('c'), RefusalReason.SEALED)
        self.assertEqual(self.guard.running, 1)

    def test_a_suspect_runs_alone(self) -> None:
        # Repeatable and other work is recorded separately, but counts together.
        self.guard.admit(_ticket('a', keep_answer=False), 0)
        early = _ticket('bad', alone=True)
        self.assert_refused(early, RefusalReason.NOT_ALONE)
        self.guard.finish('a', 1, None)
        self.assert_refused(early, RefusalReason.SEALED)
        second = _ticket('bad', attempt=2, alone=True)
        self.assertEqual(self.guard.admit(second, 0), Admitted())
        for beside in (_ticket('c'), _ticket('worse', alone=True)):
            self.assert_refused(beside, RefusalReason.NOT_ALONE)
        self.assertTrue(RefusalReason.NOT_ALONE.proves_not_run)
        seal = self.guard.seal(_seal('c'), 0)
        self.assertIs(seal.verdict, SealVerdict.NOT_RUN)

    def test_any_end_of_a_suspect_admits_others(self) -> None:
        for number, end in enumerate((self.guard.fail, self.guard.withdraw)):
            name = f'bad {number}'
            self.guard.admit(_ticket(name, alone=True), 0)
            # The end of another attempt does not end the exclusive run.
            end('unrelated', 1)
            beside = _ticket(f'early {number}')
            self.assert_refused(beside, RefusalReason.NOT_ALONE)
            end(name, 1)
            good = f'good {number}'
            self.assertEqual(self.guard.admit(_ticket(good), 0), Admitted())
            self.guard.finish(good, 1, None)

    def test_leaving_still_answers_seals(self) -> None:
        self.guard.admit(_ticket('a'), 0)
        self.guard.leave()
        self.assert_refused(_ticket('b'), RefusalReason.LEAVING)
        replies = [self.guard.seal(_seal(name), 1) for name in ('a', 'b', 'c')]
        self.assertEqual(
            [reply.verdict for reply in replies],
            [SealVerdict.RUNNING, SealVerdict.NOT_RUN, SealVerdict.NOT_RUN],
        )

    def test_seal_reports_the_outcome(self) -> None:
        answer = StoredAnswer(200, 'text/plain', b'12345678')
        for answered in ('a', 'b'):
            self.guard.admit(_ticket(answered), 0)
            self.guard.finish(answered, 1, answer)
        self.guard.admit(_ticket('c'), 0)
        self.guard.fail('c', 1)
        replies = [self.guard.seal(_seal(name), 1) for name in ('a', 'b', 'c')]
        # Both responses together exceed the limit: the older one is dropped.
        self.assertEqual(
            [reply.answer for reply in replies], [None, answer, None]
        )
        self.assertIs(replies[0].verdict, SealVerdict.RAN)
        self.assertIs(replies[2].verdict, SealVerdict.UNKNOWN)

    def test_memory_is_bounded(self) -> None:
        for index in range(100):
            self.guard.seal(_seal(f'r{index}'), 1)
        reply = self.guard.seal(_seal('r99'), 1)
        self.assertIs(reply.verdict, SealVerdict.UNKNOWN)
        self.assert_refused(_ticket('late'), RefusalReason.UNTRACKED)
        # After the deadline the tombstones are evicted and no longer needed.
        self.assert_refused(_ticket('r1'), RefusalReason.DEADLINE_PASSED, 101)
        fresh = _ticket('next', deadline_at=200)
        self.assertEqual(self.guard.admit(fresh, 101), Admitted())

    def test_repeatable_work_does_not_use_up_the_room(self) -> None:
        for index in range(100):
            name = f'r{index}'
            ticket = _ticket(name, keep_answer=False)
            self.assertEqual(self.guard.admit(ticket, 0), Admitted())
            self.guard.finish(name, 1, None)
        self.assertEqual(self.guard.admit(_ticket('a'), 0), Admitted())
        self.assertEqual(self.guard.admit(_ticket('b'), 0), Admitted())
        # Without a record a copy could start after the withdrawal.
        self.guard.finish('b', 1, None)
        self.guard.admit(_ticket('c', keep_answer=False), 0)
        withdrawn = self.guard.withdraw('c', 1)
        self.assertEqual(withdrawn, Refused(RefusalReason.UNTRACKED))
        self.guard.admit(_ticket('d'), 0)
        last = _ticket('e', keep_answer=False)
        self.assert_refused(last, RefusalReason.UNTRACKED)
        seal = self.guard.seal(_seal('f'), 0)
        self.assertIs(seal.verdict, SealVerdict.NOT_RUN)

    def test_a_clock_that_runs_backwards(self) -> None:
        self.guard.seal(_seal(), 0)
        self.guard.seal(_seal('other'), 101)
        # The tombstone was evicted; the deadline must still count as passed.
        self.assert_refused(_ticket(), RefusalReason.DEADLINE_PASSED, 50)

    def test_evicted_attempts_are_unknown(self) -> None:
        self.guard.admit(_ticket('a'), 0)
        self.guard.finish('a', 1, None)
        self.assertIs(self.guard.seal(_seal('a'), 129).verdict, SealVerdict.RAN)
        reply = self.guard.seal(_seal('a'), 131)
        self.assertIs(reply.verdict, SealVerdict.UNKNOWN)
        self.assert_refused(_ticket('a'), RefusalReason.DUPLICATE, 131)
        later = SealRequest('b', 1, 7, 102)
        self.assertIs(self.guard.seal(later, 131).verdict, SealVerdict.NOT_RUN)


if __name__ == '__main__':
    unittest.main()
