"""One line a step, and their count."""

from __future__ import annotations

import sys
import traceback
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from tests.upgrades.comparing import differences, summary

if TYPE_CHECKING:
    from collections.abc import Iterator


class Mismatch(Exception):
    """Something else came than was expected."""


class Step:
    """What one step has compared so far."""

    def __init__(self) -> None:
        self.compared = 0
        self.found: list[str] = []
        self.text = ''

    def equal(self, what: str, expected: Any, got: Any) -> None:
        """Compare two plain answers."""
        self.compared += 1
        self.found += differences(expected, got, what)

    def holds(self, what: str, condition: Any, got: Any = '') -> None:
        """Count a condition."""
        self.compared += 1
        if not condition:
            self.found.append(f'{what}: expected so, got {got}')


class Report:
    """Prints the steps and counts them."""

    def __init__(self) -> None:
        self.passed = 0
        self.failed = 0

    @contextmanager
    def step(self, name: str, text: str) -> Iterator[Step]:
        """Run one step; ``text`` says what is compared in it."""
        step = Step()
        try:
            yield step
        except Exception as exc:  # noqa: BLE001
            traceback.print_exc()
            step.found.append(f'expected no error, got {exc!r}'[:500])
        if step.found or not step.compared:
            self.failed += 1
            found = summary(step.found) or 'expected answers, got none'
            _say(f'FAILED {name}: {found}')
            return
        self.passed += 1
        _say(f'ok {name}: {step.text or text}, {step.compared} compared')

    def close(self) -> int:
        """Print the count and return the exit code."""
        total = self.passed + self.failed
        _say(f'{total} steps: {self.passed} ok, {self.failed} failed')
        return 1 if self.failed or not total else 0


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
