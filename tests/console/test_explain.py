"""``snipebend explain`` must not fail without an error.

The request is not in the logs, or a log file is missing; no output with exit
code 0 would look like a request without events.
"""

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
    """Output and exit code for requests that are, and are not, in the logs."""

    def run_command(self, *arguments):
        out = io.StringIO()
        err = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(['explain', *arguments])
        return code, out.getvalue(), err.getvalue()

    def test_prints_lines_of_the_request_or_an_error(self):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / 'entry.log'
            path.write_text(LINES)
            code, out, _ = self.run_command('r1', str(path))
            self.assertEqual((code, out), (0, LINES))
            code, out, err = self.run_command('r2', str(path))
            self.assertNotEqual(code, 0)
            self.assertEqual(out, '')
            self.assertIn("no line about request 'r2'", err)

    def test_missing_log_file_gives_an_error(self):
        code, _, err = self.run_command('r1', '/nowhere/entry.log')
        self.assertNotEqual(code, 0)
        self.assertIn('entry.log', err)
