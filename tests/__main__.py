"""Runs the named tests or all of them: ``python -m tests [name ...]``.

Tests listed in KNOWN-RED.txt are run like all others. Their failures are
printed but do not fail the run; any other failure does.
"""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
MAX_KNOWN_RED = 3


def _load(names: list[str]) -> unittest.TestSuite:
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))


def _read_known_failures() -> dict[str, str]:
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {line.split(',')[0].strip(): line for line in lines if line.strip()}


def _report(outcome: unittest.TestResult, known: dict[str, str]) -> int:
    failing = {test.id() for test, _ in outcome.failures + outcome.errors}
    failing |= {test.id() for test in outcome.unexpectedSuccesses}
    for test_id in sorted(failing & known.keys()):
        sys.stdout.write(f'known red: {known[test_id]}\n')
    unexpected = failing - known.keys()
    skipped = len(outcome.skipped)
    passed = outcome.testsRun - len(failing) - skipped
    sys.stdout.write(
        f'{passed} passed, {len(unexpected)} failed, {skipped} skipped\n',
    )
    return 1 if unexpected or not outcome.testsRun else 0


def main() -> int:
    """Run the tests and return the exit code.

    It is 1 if an unlisted test fails, if no test ran, or if KNOWN-RED.txt
    lists more than three tests.
    """
    known = _read_known_failures()
    if len(known) > MAX_KNOWN_RED:
        sys.stdout.write(
            f'KNOWN-RED.txt lists {len(known)} tests, at most '
            f'{MAX_KNOWN_RED} are allowed\n',
        )
        return 1
    runner = unittest.TextTestRunner(verbosity=1)
    return _report(runner.run(_load(sys.argv[1:])), known)


if __name__ == '__main__':
    sys.exit(main())
