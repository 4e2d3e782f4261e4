"""``snipebend explain`` on log files."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from snipebend.console.application import main

LINES = (
    'time=1 process=e event=call_begun request=r1 upstream=i-1\n'
    'time=2 process=e event=request_ended request=r1 status=200\n'
)


class TestExplain(unittest.TestCase):
    """What operators see."""

    def run_command(self, *arguments):
        out = io.StringIO()
        err = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(['explain', *arguments])
        return code, out.getvalue(), err.getvalue()

    def test_found_and_not_found(self):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / 'entry.log'
            path.write_text(LINES)
            code, out, _ = self.run_command('r1', str(path))
            self.assertEqual((code, out), (0, LINES))
            code, out, err = self.run_command('r2', str(path))
            self.assertNotEqual(code, 0)
            self.assertEqual(out, '')
            self.assertIn("no line about request 'r2'", err)

    def test_a_file_that_is_not_there(self):
        code, _, err = self.run_command('r1', '/nowhere/entry.log')
        self.assertNotEqual(code, 0)
        self.assertIn('entry.log', err)
