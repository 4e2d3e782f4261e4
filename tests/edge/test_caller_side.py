"""Guards against requests that two parsers would split differently.

A request with ambiguous framing can hide a second one in its body, which an
upstream would then run (request smuggling). Heads and bodies that are too large
or too slow would occupy the entry, and pipelined requests could get each
other's responses.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.edge.relay_fixture import (
    HOST,
    encode_response,
    read_response,
    request,
    running,
    send_request,
)


async def respond_ok(req, writer):
    writer.write(encode_response(req))
    return True


HEAD = f'POST /safe/ HTTP/1.1\r\nHost: {HOST}\r\nX-Id: r1\r\nX-Key: key\r\n'


class TestFraming(unittest.IsolatedAsyncioTestCase):
    """Requests with ambiguous framing are refused, and no part of them runs."""

    async def _check_refused(self, data, status):
        async with running(respond_ok) as relay:
            reader, writer = await relay.connect()
            writer.write(data)
            async with asyncio.timeout(8):
                got = await read_response(reader)
                self.assertEqual(got.status, status)
                self.assertEqual(got.headers['connection'], 'close')
                self.assertEqual(await reader.read(), b'')
            writer.close()
            self.assertEqual(relay.upstreams[0].requests, [])

    async def test_ambiguous_body_lengths(self):
        bodies = (
            'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
            'Content-Length: 3\r\nContent-Length: 4\r\n',
            'Content-Length: 3, 3\r\n',
            'Content-Length: +3\r\n',
            'Transfer-Encoding: chunked, chunked\r\n',
            'Transfer-Encoding: gzip\r\n',
            'Transfer-Encoding: xchunked\r\n',
            'Content-Length : 3\r\n',
            'X-Bad\r\n',
        )
        for lines in bodies:
            with self.subTest(lines=lines):
                await self._check_refused(f'{HEAD}{lines}\r\nask'.encode(), 400)

    async def test_missing_or_repeated_host(self):
        for lines in (f'Host: {HOST}\r\n', ''):
            head = HEAD if lines else HEAD.replace(f'Host: {HOST}\r\n', '')
            with self.subTest(lines=lines):
                await self._check_refused(f'{head}{lines}\r\n'.encode(), 400)

    async def test_not_http(self):
        await self._check_refused(b'\x16\x03\x01\x02\x00\x01\x00\r\n\r\n', 400)

    async def test_absolute_target(self):
        data = request('/safe/').replace(b'/safe/', b'http://h.example/safe/')
        await self._check_refused(data, 400)

    async def test_oversized_heads(self):
        await self._check_refused(request('/safe/', x_long='a' * 3000), 431)

    async def test_oversized_head_without_an_end(self):
        await self._check_refused(f'{HEAD}X-Long: {"a" * 5000}'.encode(), 431)

    async def test_oversized_bodies(self):
        await self._check_refused(request('/safe/', body=b'a' * 5000), 413)
        chunked = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'.encode()
        await self._check_refused(b'%b1400\r\n%b' % (chunked, b'a' * 5120), 413)

    async def test_slow_head(self):
        await self._check_refused(HEAD.encode(), 408)

    async def test_smuggled_request_does_not_run(self):
        inner = request('/unsafe/', x_id='smuggled')
        async with running(respond_ok) as relay:
            got = await send_request(relay, request('/safe/', body=inner))
            self.assertEqual(got.status, 200)
            received = relay.upstreams[0].requests
            self.assertEqual([one.body for one in received], [inner])


class TestConnections(unittest.IsolatedAsyncioTestCase):
    """Persistent connections, chunked bodies and pipelined requests."""

    async def test_several_requests_on_one_connection(self):
        async with running(respond_ok) as relay:
            reader, writer = await relay.connect()
            for _ in range(3):
                writer.write(request('/safe/'))
                got = await read_response(reader)
                self.assertEqual(got.body, b'whole')
            writer.close()

    async def test_pipelined_requests_are_served_in_order(self):
        async def echo(req, writer):
            writer.write(encode_response(req, req.headers['x-id'].encode()))
            return True

        async with running(echo, echo) as relay:
            reader, writer = await relay.connect()
            ids = [f'p{number}' for number in range(9)]
            writer.write(b''.join(request('/safe/', x_id=one) for one in ids))
            got = [(await read_response(reader)).body for _ in ids]
            self.assertEqual(got, [one.encode() for one in ids])
            writer.close()

    async def test_chunked_bodies(self):
        async with running(respond_ok) as relay:
            head = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'.encode()
            chunks = b'3\r\nask\r\n2\r\n!!\r\n0\r\n\r\n'
            got = await send_request(relay, b'%b%b' % (head, chunks))
            self.assertEqual(got.status, 200)
            self.assertEqual(relay.upstreams[0].requests[0].body, b'ask!!')

    async def test_expect_100_continue(self):
        async with running(respond_ok) as relay:
            reader, writer = await relay.connect()
            data = request('/safe/', Expect='100-continue')
            head, _, body = data.partition(b'\r\n\r\n')
            writer.write(b'%b\r\n\r\n' % head)
            async with asyncio.timeout(5):
                interim = await reader.readuntil(b'\r\n\r\n')
                self.assertIn(b'100', interim)
                writer.write(body)
                got = await read_response(reader)
            self.assertEqual(got.status, 200)
            writer.close()

    async def test_connection_close(self):
        async with running(respond_ok) as relay:
            reader, writer = await relay.connect()
            writer.write(request('/safe/', Connection='close'))
            got = await read_response(reader)
            self.assertEqual(got.headers['connection'], 'close')
            self.assertEqual(await reader.read(), b'')
            writer.close()
