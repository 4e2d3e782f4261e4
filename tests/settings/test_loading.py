"""All faults of a settings file must be reported, with file and key.

A settings file is missing, has a syntax error, or has several invalid keys at
once. A daemon must report all of them, with the file, and exit with code 2.
"""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from snipebend.daemons.entry import main
from snipebend.settings.loading import load_settings, parse_settings
from snipebend.settings.model import AgentSettings, EntrySettings

_PATH = Path('entry.toml')

_VALID = """
[process]
name = "entry-1"
data_center = "zrh-1"
[control]
addresses = ["10.0.0.1:7001"]
"""

_INVALID = """
[process]
name = 7
[listen]
http_port = 70000
colour = "red"
[control]
addresses = ["control.example:7001"]
"""


class LoadingTest(unittest.TestCase):
    """Valid settings are loaded, invalid ones reported."""

    def test_accepts_valid_settings(self) -> None:
        cfg = parse_settings(_VALID, _PATH, EntrySettings).unwrap()
        self.assertEqual(cfg.process.name, 'entry-1')
        self.assertEqual(cfg.listen.host, '127.0.0.1')

    def test_reports_all_problems_with_their_keys(self) -> None:
        exc = parse_settings(_INVALID, _PATH, EntrySettings).unwrap_err()
        self.assertEqual(
            {problem.key for problem in exc.problems},
            {
                'process.name',
                'process.data_center',
                'listen.http_port',
                'listen.colour',
                'control.addresses.0',
            },
        )
        self.assertTrue(
            all(
                str(problem).startswith('entry.toml: ')
                for problem in exc.problems
            ),
        )

    def test_reports_syntax_errors_and_missing_files(self) -> None:
        syntax = parse_settings('a = = 1', _PATH, AgentSettings)
        self.assertIn('line 1', syntax.unwrap_err().message)
        missing = load_settings(Path('/nonexistent/x.toml'), AgentSettings)
        self.assertIn('No such file', missing.unwrap_err().message)

    def test_daemon_exits_with_code_2(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'bad.toml'
            path.write_text(_INVALID, encoding='utf-8')
            self.assertEqual(main([str(path)]), 2)
