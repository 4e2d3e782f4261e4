"""What a request does after a call that ended."""

from __future__ import annotations

import unittest

from snipebend.relay.endings import Chances, Ending, Next, decide

FRESH = Chances(
    idempotent=False,
    runs_left=2,
    sends_left=3,
    time_left_s=1.0,
    other_upstream=True,
    may_have_run=False,
)


class TestDecide(unittest.TestCase):
    """Never twice for work that runs once; never an untrue refusal."""

    def test_not_run_is_sent_again(self):
        for ending in (Ending.UNSENT, Ending.NOT_RUN):
            for idempotent in (True, False):
                with self.subTest(ending=ending, idempotent=idempotent):
                    chances = FRESH._replace(idempotent=idempotent)
                    self.assertIs(decide(ending, chances), Next.RETRY)

    def test_work_that_may_have_run_is_not_sent_again(self):
        chances = FRESH._replace(may_have_run=True)
        self.assertIs(decide(Ending.UNKNOWN, chances), Next.GIVE_UP)
        self.assertIs(decide(Ending.NOT_RUN, chances), Next.GIVE_UP)

    def test_idempotent_work_is(self):
        chances = FRESH._replace(idempotent=True, may_have_run=True)
        for ending in Ending:
            with self.subTest(ending=ending):
                self.assertIs(decide(ending, chances), Next.RETRY)

    def test_refused_only_if_it_never_ran(self):
        chances = FRESH._replace(other_upstream=False)
        self.assertIs(decide(Ending.NOT_RUN, chances), Next.REFUSE)
        idempotent = chances._replace(idempotent=True, may_have_run=True)
        self.assertIs(decide(Ending.NOT_RUN, idempotent), Next.GIVE_UP)

    def test_the_upstreams_failure_is_passed_on(self):
        chances = FRESH._replace(may_have_run=True)
        self.assertIs(decide(Ending.FAILED, chances), Next.PASS_ON)

    def test_no_retry_beyond_any_limit(self):
        idempotent = FRESH._replace(idempotent=True)
        limits = {
            'runs_left': 0,
            'sends_left': 0,
            'time_left_s': 0.001,
            'other_upstream': False,
        }
        for name, limit in limits.items():
            with self.subTest(name=name):
                chances = idempotent._replace(**{name: limit})
                self.assertIsNot(decide(Ending.NOT_RUN, chances), Next.RETRY)
