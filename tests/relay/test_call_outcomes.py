"""Prevents requests from running twice, or being refused although they ran.

A call can fail after the upstream received the request, so that nobody knows
whether it ran. A retry could run a non-idempotent request again, and a refusal
would state that it did not run.
"""

from __future__ import annotations

import unittest

from snipebend.relay.call_outcomes import (
    CallOutcome,
    NextAction,
    RetryConditions,
    decide_next_action,
)

FIRST_CALL = RetryConditions(
    idempotent=False,
    runs_left=2,
    attempts_left=3,
    time_left_s=1.0,
    other_available=True,
    may_have_run=False,
)


class TestDecide(unittest.TestCase):
    """Non-idempotent requests never run twice; no refusal after a run."""

    def test_request_that_did_not_run_is_retried(self):
        for outcome in (CallOutcome.UNSENT, CallOutcome.NOT_RUN):
            for idempotent in (True, False):
                with self.subTest(outcome=outcome, idempotent=idempotent):
                    conditions = FIRST_CALL._replace(idempotent=idempotent)
                    self.assertIs(
                        decide_next_action(outcome, conditions),
                        NextAction.RETRY,
                    )

    def test_request_that_may_have_run_is_not_retried(self):
        conditions = FIRST_CALL._replace(may_have_run=True)
        self.assertIs(
            decide_next_action(CallOutcome.UNKNOWN, conditions),
            NextAction.REPORT_UNKNOWN,
        )
        self.assertIs(
            decide_next_action(CallOutcome.NOT_RUN, conditions),
            NextAction.REPORT_UNKNOWN,
        )

    def test_idempotent_request_is_retried(self):
        conditions = FIRST_CALL._replace(idempotent=True, may_have_run=True)
        for outcome in CallOutcome:
            with self.subTest(outcome=outcome):
                self.assertIs(
                    decide_next_action(outcome, conditions), NextAction.RETRY
                )

    def test_refused_only_if_it_cannot_have_run(self):
        conditions = FIRST_CALL._replace(other_available=False)
        self.assertIs(
            decide_next_action(CallOutcome.NOT_RUN, conditions),
            NextAction.REFUSE,
        )
        idempotent = conditions._replace(idempotent=True, may_have_run=True)
        self.assertIs(
            decide_next_action(CallOutcome.NOT_RUN, idempotent),
            NextAction.REPORT_UNKNOWN,
        )

    def test_upstream_failure_is_forwarded(self):
        conditions = FIRST_CALL._replace(may_have_run=True)
        self.assertIs(
            decide_next_action(CallOutcome.FAILED, conditions),
            NextAction.FORWARD,
        )

    def test_no_retry_beyond_any_limit(self):
        idempotent = FIRST_CALL._replace(idempotent=True)
        limits = {
            'runs_left': 0,
            'attempts_left': 0,
            'time_left_s': 0.001,
            'other_available': False,
        }
        for name, limit in limits.items():
            with self.subTest(name=name):
                conditions = idempotent._replace(**{name: limit})
                self.assertIsNot(
                    decide_next_action(CallOutcome.NOT_RUN, conditions),
                    NextAction.RETRY,
                )
