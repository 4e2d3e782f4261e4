"""From a failed request's id to its cause, by the logs of real processes."""

from __future__ import annotations

import tempfile
import unittest

from snipebend.telemetry.log_lines import explain, read_line
from tests.edge.relay_fixture import encode_response as plain_answer
from tests.platform.deployment import config, deployment

PUT = '/-/config/put'


async def cut(req, writer):
    """Close without an answer: it may have run."""
    return False


async def other_life(req, writer):
    """Another life of an upstream has the address by now."""
    writer.write(plain_answer(req, b'', '421 Misdirected Request', ''))
    return True


class TestExplaining(unittest.IsolatedAsyncioTestCase):
    """The three walks of the operators' page."""

    async def test_the_walks(self):
        with tempfile.TemporaryDirectory() as folder:
            async with deployment(folder) as made:
                await self._refused_without_a_document(made)
                await made.call(PUT, config(4, '/a/'))
                await self._refused_without_an_upstream(made)
                await self._lost(made)
                await self._misdirected(made)

    async def _refused_without_a_document(self, made):
        got = await made.ask(request_id='early')
        self.assertEqual(got.status, 503)
        life = await self._life(made, 'early')
        self.assertEqual(life[-1].pairs['outcome'], 'not-run')
        self.assertIn('no document', life[-1].pairs['detail'])
        self.assertEqual(life[-1].pairs['document'], '0')

    async def _refused_without_an_upstream(self, made):
        await made.entry.wait_for_line('event=document_in_force')
        got = await made.ask(request_id='alone')
        self.assertEqual(got.status, 503)
        life = await self._life(made, 'alone')
        told = [line.pairs['event'] for line in life]
        self.assertIn('document_in_force', told)
        refused = next(one for one in life if one.pairs['event'] == 'refused')
        self.assertEqual(refused.pairs['document'], '4')
        self.assertIn('no upstream', refused.pairs['detail'])

    async def _lost(self, made):
        upstream = await made.start_upstream(cut)
        await made.beat('i-1', upstream)
        await made.entry.wait_for_line('event=upstream_seen', 'upstream=i-1')
        got = await made.ask(request_id='lost')
        self.assertEqual(got.status, 502)
        life = await self._life(made, 'lost')
        told = [line.pairs['event'] for line in life]
        self.assertLess(told.index('upstream_seen'), told.index('call_begun'))
        ended = life[told.index('call_ended')].pairs
        self.assertEqual(
            (ended['upstream'], ended['ending']), ('i-1', 'unknown')
        )
        await made.beat('i-1', upstream, state='draining')
        await made.entry.wait_for_line('upstream=i-1', 'phase=LEAVING')

    async def _misdirected(self, made):
        upstream = await made.start_upstream(other_life)
        await made.beat('i-2', upstream)
        await made.entry.wait_for_line('event=upstream_seen', 'upstream=i-2')
        got = await made.ask(request_id='moved')
        self.assertEqual(got.status, 503)
        life = await self._life(made, 'moved')
        ended = [one for one in life if one.pairs['event'] == 'call_ended']
        self.assertEqual(ended[0].pairs['ending'], 'not-run')
        self.assertIn('421', ended[0].pairs['reason'])

    async def _life(self, made, request_id):
        await made.entry.wait_for_line(f'request={request_id} ')
        await made.entry.wait_for_line('event=refused', f'request={request_id}')
        read = (read_line(text) for text in made.entry.log)
        return explain(request_id, [line for line in read if line])
