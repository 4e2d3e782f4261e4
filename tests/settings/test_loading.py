"""Settings files: all errors at once, each with file and key."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from snipebend.daemons.entry import main
from snipebend.settings.loading import load_settings, parse_settings
from snipebend.settings.model import AgentSettings, EntrySettings

_PATH = Path('entry.toml')

_GOOD = """
[process]
name = "entry-1"
data_center = "zrh-1"
[control]
addresses = ["10.0.0.1:7001"]
"""

_BAD = """
[process]
name = 7
[listen]
http_port = 70000
colour = "red"
[control]
addresses = ["control.example:7001"]
"""


class LoadingTest(unittest.TestCase):
    """What is accepted and what is told of the rest."""

    def test_accepts_good_settings(self) -> None:
        cfg = parse_settings(_GOOD, _PATH, EntrySettings).unwrap()
        self.assertEqual(cfg.process.name, 'entry-1')
        self.assertEqual(cfg.listen.host, '127.0.0.1')

    def test_tells_all_errors_with_their_keys(self) -> None:
        exc = parse_settings(_BAD, _PATH, EntrySettings).unwrap_err()
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
            all(str(one).startswith('entry.toml: ') for one in exc.problems),
        )

    def test_tells_of_syntax_and_missing_files(self) -> None:
        syntax = parse_settings('a = = 1', _PATH, AgentSettings)
        self.assertIn('line 1', syntax.unwrap_err().message)
        missing = load_settings(Path('/nonexistent/x.toml'), AgentSettings)
        self.assertIn('No such file', missing.unwrap_err().message)

    def test_a_daemon_ends_with_code_2(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'bad.toml'
            path.write_text(_BAD, encoding='utf-8')
            self.assertEqual(main([str(path)]), 2)
