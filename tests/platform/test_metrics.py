"""Detects metrics that are missing, renamed or not counted.

The names and labels that operators query are compared with what real processes
export after a few requests.
"""

from __future__ import annotations

import re
import tempfile
import unittest

from tests.platform.deployment import ENTRY_HOST, answer, config, deployment

#: Labels that the metrics library adds to each line.
SCOPE_LABELS = re.compile(r'otel_scope_\w+="[^"]*",?')

LOG_SYNCS = 'snipebend_log_sync_seconds_count'

ENTRY_METRICS = (
    'snipebend_relay_requests_total{kind="unsafe",status="200"}',
    'snipebend_relay_refusals_total{reason="No route",status="404"} 1',
    'snipebend_relay_calls_total{ending="answered",service="s-1"}',
    'snipebend_relay_first_piece_seconds_count',
    'snipebend_relay_responses_total{ending="answered",framing="length",} 1',
    'snipebend_relay_hand_on_seconds_count',
    'snipebend_relay_retries_left{service="s-1"} 1.',
    'snipebend_relay_upstreams{state="open"} 1',
    'snipebend_relay_document_number{} 4',
    'snipebend_relay_news_age_seconds{}',
)


async def serve(req, writer):
    writer.write(answer(req))
    return True


class TestMetrics(unittest.IsolatedAsyncioTestCase):
    """Requests, refusals, upstreams, roles and writes are counted."""

    async def test_entry_and_control(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                upstream = await cluster.start_upstream(serve)
                await cluster.call('/-/config/put', config(4, '/a/'))
                await cluster.send_heartbeat('i-1', upstream)
                await cluster.send_until(200)
                await cluster.send_request(path='/b/')
                exported = SCOPE_LABELS.sub(
                    '', await cluster.metrics(ENTRY_HOST)
                )
                for metric in ENTRY_METRICS:
                    self.assertIn(metric, exported)
                # Monitoring may keep only the beginning of the page.
                self.assertLess(
                    exported.rindex('\nsnipebend_'),
                    exported.index('\npython_gc'),
                )
                # The writes so far need only a majority: one daemon may lag.
                texts = [
                    SCOPE_LABELS.sub(
                        '', await cluster.metrics_until(host, LOG_SYNCS)
                    )
                    for host in cluster.controls
                ]
                leaders = [
                    text
                    for text in texts
                    if 'snipebend_role_changes_total{role="leader"}' in text
                ]
                self.assertTrue(leaders)
