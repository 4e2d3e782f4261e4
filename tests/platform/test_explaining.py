"""The cause of each failed request must be found in the logs.

A request fails without a document, without an upstream, after a lost call, or
at an upstream that was replaced. The log lines of each case must be found by
the request's id and name the cause.
"""

from __future__ import annotations

import tempfile
import unittest

from snipebend.telemetry.log_lines import explain, read_line
from tests.edge.relay_fixture import encode_response as plain_answer
from tests.platform.deployment import config, deployment

PUT = '/-/config/put'


async def close_connection(req, writer):
    """Close without a response: the request may have run."""
    return False


async def respond_misdirected(req, writer):
    """Respond as another incarnation of the upstream at this address."""
    writer.write(plain_answer(req, b'', '421 Misdirected Request', ''))
    return True


class TestExplaining(unittest.IsolatedAsyncioTestCase):
    """The cases that the operators' page describes."""

    async def test_causes_of_failed_requests(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as cluster:
                await self._refused_without_a_document(cluster)
                await cluster.call(PUT, config(4, '/a/'))
                await self._refused_without_an_upstream(cluster)
                await self._lost(cluster)
                await self._misdirected(cluster)

    async def _refused_without_a_document(self, cluster):
        response = await cluster.send_request(request_id='early')
        self.assertEqual(response.status, 503)
        lines = await self._explain(cluster, 'early')
        self.assertEqual(lines[-1].pairs['outcome'], 'not-run')
        self.assertIn('no document', lines[-1].pairs['detail'])
        self.assertEqual(lines[-1].pairs['document'], '0')

    async def _refused_without_an_upstream(self, cluster):
        await cluster.entry.wait_for_line('event=document_in_force')
        response = await cluster.send_request(request_id='alone')
        self.assertEqual(response.status, 503)
        lines = await self._explain(cluster, 'alone')
        events = [line.pairs['event'] for line in lines]
        self.assertIn('document_in_force', events)
        refused = next(
            line for line in lines if line.pairs['event'] == 'refused'
        )
        self.assertEqual(refused.pairs['document'], '4')
        self.assertIn('no upstream', refused.pairs['detail'])

    async def _lost(self, cluster):
        upstream = await cluster.start_upstream(close_connection)
        await cluster.send_heartbeat('i-1', upstream)
        await cluster.entry.wait_for_line('event=upstream_seen', 'upstream=i-1')
        response = await cluster.send_request(request_id='lost')
        self.assertEqual(response.status, 502)
        lines = await self._explain(cluster, 'lost')
        events = [line.pairs['event'] for line in lines]
        self.assertLess(
            events.index('upstream_seen'), events.index('call_begun')
        )
        ended = lines[events.index('call_ended')].pairs
        self.assertEqual(
            (ended['upstream'], ended['ending']), ('i-1', 'unknown')
        )
        await cluster.send_heartbeat('i-1', upstream, state='draining')
        await cluster.entry.wait_for_line('upstream=i-1', 'phase=LEAVING')

    async def _misdirected(self, cluster):
        upstream = await cluster.start_upstream(respond_misdirected)
        await cluster.send_heartbeat('i-2', upstream)
        await cluster.entry.wait_for_line('event=upstream_seen', 'upstream=i-2')
        response = await cluster.send_request(request_id='moved')
        self.assertEqual(response.status, 503)
        lines = await self._explain(cluster, 'moved')
        ended = [line for line in lines if line.pairs['event'] == 'call_ended']
        self.assertEqual(ended[0].pairs['ending'], 'not-run')
        self.assertIn('421', ended[0].pairs['reason'])

    async def _explain(self, cluster, request_id):
        await cluster.entry.wait_for_line(f'request={request_id} ')
        await cluster.entry.wait_for_line(
            'event=refused', f'request={request_id}'
        )
        read = (read_line(text) for text in cluster.entry.log)
        return explain(request_id, [line for line in read if line])
