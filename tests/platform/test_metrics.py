"""What processes tell on their metrics addresses."""

from __future__ import annotations

import re
import tempfile
import unittest

from tests.platform.deployment import ENTRY_HOST, answer, config, deployment

#: Labels that the metrics library adds to each line.
SCOPE = re.compile(r'otel_scope_\w+="[^"]*",?')

SYNCS = 'snipebend_log_sync_seconds_count'

ENTRY_FIGURES = (
    'snipebend_relay_requests_total{kind="unsafe",status="200"}',
    'snipebend_relay_refusals_total{reason="No route",status="404"} 1',
    'snipebend_relay_calls_total{ending="answered",service="s-1"}',
    'snipebend_relay_first_piece_seconds_count',
    'snipebend_relay_hand_on_seconds_count',
    'snipebend_relay_retries_left{service="s-1"} 3',
    'snipebend_relay_upstreams{state="open"} 1',
    'snipebend_relay_document_number{} 4',
    'snipebend_relay_news_age_seconds{}',
)


async def whole(req, writer):
    writer.write(answer(req))
    return True


class TestMetrics(unittest.IsolatedAsyncioTestCase):
    """Requests, refusals, upstreams, roles and writes are counted."""

    async def test_entry_and_control(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as made:
                upstream = await made.start_upstream(whole)
                await made.call('/-/config/put', config(4, '/a/'))
                await made.beat('i-1', upstream)
                await made.ask_until(200)
                await made.ask(path='/b/')
                shown = SCOPE.sub('', await made.metrics(ENTRY_HOST))
                for figure in ENTRY_FIGURES:
                    self.assertIn(figure, shown)
                # A majority is enough for what was asked so far.
                texts = [
                    SCOPE.sub('', await made.metrics_until(host, SYNCS))
                    for host in made.controls
                ]
                leading = [
                    text
                    for text in texts
                    if 'snipebend_role_changes_total{role="leader"}' in text
                ]
                self.assertTrue(leading)
