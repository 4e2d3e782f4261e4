"""Guards against platform headers that are misread, forged or leaked.

Callers and upstreams send invalid values and headers that only an entry may
set. Forwarded unchecked, a forged header would be trusted by the upstream, and
credentials would reach it.
"""

from __future__ import annotations

import unittest

from snipebend.relay.facts import (
    AnnouncedLimit,
    BackoffRequest,
    CallContext,
    PrefixPart,
    RequestHead,
    ResponseHead,
)
from snipebend_platform.dialect import PlatformDialect

HEADERS = (
    (b'Host', b'Ficu95.example:8080'),
    (b'snipebend-attempt-id', b'9c41'),
    (b'Snipebend-Credential', b'secret'),
    (b'Snipebend-Tenant', b'forged'),
    (b'Snipebend-Deadline-Ms', b'8040'),
    (b'Snipebend-Token-Count', b'1460,80'),
    (b'Snipebend-Prompt-Prefix', b'5c1e:800, 91bd:410'),
    (b'Snipebend-Expect-Replica', b'forged'),
    (b'Snipebend-Request-Priority', b'0'),
    (b'Last-Event-Id', b'12'),
    (b'X-Other', b'kept'),
)
CALL = CallContext('i-7f3a', 'hule930', 1.5, 2)


class TestDialect(unittest.TestCase):
    """Header names and value formats."""

    def setUp(self):
        self.dialect = PlatformDialect()

    def read(self, *headers):
        return self.dialect.read_caller(RequestHead(b'POST', b'/', headers))

    def test_headers_of_a_caller(self):
        facts = self.read(*HEADERS)
        self.assertEqual(facts.request_id, '9c41')
        self.assertEqual(facts.host, 'ficu95.example')
        self.assertEqual(facts.key, 'secret')
        self.assertEqual(facts.timeout_s, 8.04)
        self.assertEqual(facts.last_event, 12)
        self.assertEqual((facts.prompt_tokens, facts.answer_tokens), (1460, 80))
        self.assertEqual(
            facts.prefix, (PrefixPart('5c1e', 800), PrefixPart('91bd', 410))
        )

    def test_invalid_headers(self):
        for header in (
            (b'Snipebend-Deadline-Ms', b'soon'),
            (b'Snipebend-Token-Count', b'many'),
            (b'Snipebend-Prompt-Prefix', b'5c1e'),
            (b'Last-Event-Id', b'x'),
        ):
            with self.subTest(header=header):
                self.assertIsNone(self.read((b'Host', b'h'), header))

    def test_credentials_and_forged_headers_are_not_forwarded(self):
        sent = dict(self.dialect.upstream_headers(HEADERS, CALL))
        self.assertNotIn(b'Snipebend-Credential', sent)
        self.assertEqual(sent[b'Snipebend-Tenant'], b'hule930')
        self.assertEqual(sent[b'Snipebend-Expect-Replica'], b'i-7f3a')
        self.assertEqual(sent[b'Snipebend-Request-Priority'], b'2')
        self.assertEqual(sent[b'Snipebend-Deadline-Ms'], b'1500')
        self.assertEqual(sent[b'snipebend-attempt-id'], b'9c41')
        self.assertEqual(sent[b'Last-Event-Id'], b'12')
        self.assertEqual(sent[b'X-Other'], b'kept')
        names = [
            name.lower()
            for name, _ in self.dialect.upstream_headers(HEADERS, CALL)
        ]
        self.assertEqual(len(names), len(set(names)))

    def test_resumed_stream(self):
        call = CALL._replace(resume_after=17)
        sent = self.dialect.upstream_headers(HEADERS, call)
        events = [value for name, value in sent if name == b'Last-Event-Id']
        self.assertEqual(events, [b'17'])

    def test_answers(self):
        def facts(status, *headers):
            return self.dialect.read_response(
                ResponseHead(status, b'', headers)
            )

        self.assertTrue(facts(503, (b'Snipebend-Not-Executed', b'1')).not_run)
        self.assertFalse(facts(503).not_run)
        self.assertTrue(facts(421).identity_mismatch)
        authenticated = facts(200, (b'snipebend-replica-signature', b'3e1b'))
        self.assertTrue(authenticated.authenticated)
        self.assertEqual(
            facts(200, (b'Snipebend-Attempt-Id', b'9c41')).request_id, '9c41'
        )

    def test_request_limits(self):
        def limit(*texts):
            headers = tuple((b'Server-Limit', text) for text in texts)
            head = ResponseHead(200, b'', headers)
            return self.dialect.read_response(head).limit

        self.assertIsNone(limit())
        self.assertEqual(limit(b'2.5'), AnnouncedLimit(2.5))
        self.assertEqual(limit(b'0'), AnnouncedLimit(0.0))
        # Of several values, the lowest valid one counts.
        self.assertEqual(limit(b'4', b'x', b'3, 9'), AnnouncedLimit(3.0))
        for text in (b'', b'-1', b'nan', b'inf', b'few', b'1;2', b'\xff'):
            with self.subTest(text=text):
                self.assertEqual(limit(text), AnnouncedLimit(None))

    def test_backoffs(self):
        def backoff(*texts, status=503):
            headers = tuple((b'Retry-After', text) for text in texts)
            head = ResponseHead(status, b'', headers)
            return self.dialect.read_response(head).backoff

        self.assertIsNone(backoff())
        self.assertIsNone(backoff(b'3', status=200))
        self.assertEqual(backoff(b'3'), BackoffRequest(3.0))
        self.assertEqual(backoff(b'2.5', status=429), BackoffRequest(2.5))
        # Of several values, the longest valid one counts.
        self.assertEqual(backoff(b'1', b'x', b'3, 2'), BackoffRequest(3.0))
        for text in (b'', b'-1', b'nan', b'inf', b'soon', b'\xff'):
            with self.subTest(text=text):
                self.assertEqual(backoff(text), BackoffRequest(None))

    def test_leaving(self):
        def leaving(*headers):
            head = ResponseHead(200, b'', headers)
            return self.dialect.read_response(head).leaving

        self.assertFalse(leaving())
        self.assertTrue(leaving((b'server-leaving', b'1')))
        self.assertFalse(leaving((b'Server-Leaving', b'0')))

    def test_cold_times(self):
        def cold_s(*texts):
            headers = tuple((b'snipebend-cold-ms', text) for text in texts)
            head = ResponseHead(200, b'', headers)
            return self.dialect.read_response(head).cold_s

        self.assertIsNone(cold_s())
        self.assertEqual(cold_s(b'0'), 0)
        self.assertEqual(cold_s(b'1', b'x', b'1500'), 1.5)
        for text in (b'', b'-1', b'nan', b'inf', b'soon', b'\xff'):
            with self.subTest(text=text):
                self.assertIsNone(cold_s(text))

    def test_refusals(self):
        lines = dict(self.dialect.refusal_headers('9c41', 0.25))
        self.assertEqual(lines[b'Retry-After'], b'0.25')
        self.assertEqual(lines[b'Snipebend-Attempt-Id'], b'9c41')
        self.assertEqual(self.dialect.refusal_headers('', 0), [])
