"""Callers must find a listener while an entry starts.

Loading an entry takes 0.45 s. After all entries were killed, callers found no
listener for that time, retried once and found none again. The socket must be
opened before any module that takes long to load is imported.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import tempfile
import unittest
from pathlib import Path
from subprocess import run

from snipebend.edge.early_listener import open_early
from tests.edge.relay_fixture import read_response, request, running


class TestEarlyListener(unittest.IsolatedAsyncioTestCase):
    """The kernel accepts connections, and the entry serves them later."""

    def open(self, text):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder) / 'entry.toml'
        path.write_text(text, encoding='utf-8')
        return open_early(path)

    async def test_request_sent_before_the_start_is_served(self):
        listener = self.open('callers = "127.0.0.1:0"')
        early = socket.create_connection(listener.getsockname())
        early.sendall(request('/safe/'))

        async def respond(_, writer):
            writer.write(
                b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Proof: p\r\n'
                b'Content-Length: 2\r\n\r\nok'
            )

        async with running(respond, listener=listener):
            early.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=early)
            got = await read_response(reader)
            writer.close()
        self.assertEqual((got.status, got.body), (200, b'ok'))

    def test_invalid_settings_are_left_to_the_entry(self):
        for text in ('', 'callers = 7', 'callers = "nowhere"', 'a = = 1'):
            with self.subTest(text=text):
                self.assertIsNone(self.open(text))
        self.assertIsNone(open_early(Path('/nonexistent/entry.toml')))

    def test_no_heavy_imports(self):
        """Its purpose: no module that takes long to load is imported before."""
        code = (
            'import sys; import snipebend.edge.early_listener; '
            + 'print([one for one in ("asyncio", "msgspec", "loguru", '
            + '"uvicorn", "falcon") if one in sys.modules])'
        )
        done = run(
            [sys.executable, '-c', code],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(done.stdout.strip(), '[]')
