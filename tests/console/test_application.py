"""Commands must fail with the right exit code and error message.

A process is unreachable, a fleet file is missing, invalid or too large, its
lease is too short to renew, or another change was accepted first. The JSON
output must be a single document in that case too.
"""

from __future__ import annotations

import contextlib
import io
import json
import socket
import tempfile
import unittest
from argparse import Namespace
from pathlib import Path

from snipebend.console.application import main
from snipebend.console.apply import report
from snipebend.console.demo_fleet import FLEET
from snipebend.state.messages import ApplyOutcome, ApplyReply
from snipebend.fleet.lease import MIN_CONFIG_LEASE_S

_COMMANDS = (
    'check',
    'apply',
    'show',
    'status',
    'evacuate',
    'dump',
    'demo',
)


def _run(*arguments: str) -> tuple[int, str, str]:
    out = io.StringIO()
    err = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = main(list(arguments))
        except SystemExit as exc:
            code = int(exc.code or 0)
    return code, out.getvalue(), err.getvalue()


def _closed_port() -> str:
    """Return a loopback address whose port is closed."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return f'127.0.0.1:{listener.getsockname()[1]}'


class ApplicationTest(unittest.TestCase):
    """Each command reports failures by its exit code and error message."""

    def test_help_has_examples_and_exit_codes(self) -> None:
        for command in _COMMANDS:
            with self.subTest(command=command):
                code, out, _ = _run(command, '--help')
                self.assertEqual(code, 0)
                self.assertIn('example', out)
                self.assertIn('exit codes:', out)

    def test_unreachable_process_gives_exit_code_4(self) -> None:
        address = _closed_port()
        for arguments in (
            ('show', '--control', address),
            ('status', '--control', address),
            ('evacuate', 'start', 'dc-a', '--control', address),
            ('evacuate', 'list', '--control', address),
            ('dump', address),
        ):
            with self.subTest(arguments=arguments):
                code, _, err = _run(*arguments)
                self.assertEqual(code, 4)
                self.assertIn(f'peer={address}', err)

    def test_check_reports_problems_of_the_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'fleet.toml'
            path.write_text(FLEET, encoding='utf-8')
            self.assertEqual(_run('check', str(path))[0], 0)
            path.write_text(f'{FLEET}\ncolour = 1\n', encoding='utf-8')
            code, _, err = _run('check', str(path))
            self.assertEqual(code, 2)
            self.assertIn('colour', err)
            path.write_bytes(b'#' * 10_000_000)
            code, _, err = _run('check', str(path))
            self.assertEqual(code, 2)
            self.assertIn('larger than', err)

    def test_check_refuses_a_lease_too_short_to_renew(self) -> None:
        minimum_s = MIN_CONFIG_LEASE_S
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'fleet.toml'
            for lease_s, expected in (
                (minimum_s, 0),
                (minimum_s - 0.1, 2),
                (0.5, 2),
            ):
                routing = f'[routing]\nconfig_lease_s = {lease_s:.1f}\n'
                path.write_text(f'{FLEET}\n{routing}', encoding='utf-8')
                code, _, err = _run('check', str(path))
                self.assertEqual(code, expected, err)
                if expected:
                    self.assertIn('routing.config_lease_s: ', err)
                    self.assertIn(f'at least {minimum_s:g} s', err)

    def test_check_reports_a_missing_file(self) -> None:
        code, _, err = _run('check', '/nonexistent/fleet.toml')
        self.assertEqual(code, 2)
        self.assertIn('No such file', err)


class ApplyReportTest(unittest.TestCase):
    """The output of ``apply`` for a change that lost against another one."""

    def test_json_output_of_a_conflict_is_a_single_document(self) -> None:
        reply = ApplyReply(ApplyOutcome.CONFLICT, 7, 'too late', 'name = "x"')
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = report(Namespace(json=True), reply)
        self.assertEqual(code, 3)
        document = json.loads(out.getvalue())
        self.assertEqual(document['winner'], 'name = "x"')
        self.assertEqual(document['revision'], 7)
