"""Loads settings files; reports all problems at once, with file and key."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TypeVar

from msgspec import ValidationError
from result import Err, Ok, Result

from snipebend.errors.hierarchy import InvalidInputError
from snipebend.settings.base import Section
from snipebend.settings.checking import SettingsProblem, check_table

AnySettings = TypeVar('AnySettings', bound=Section)

#: Exit code of a command on invalid settings or an invalid file.
EXIT_BAD_INPUT = 2

_STEP = 'settings'


class SettingsError(InvalidInputError):
    """All problems in a settings file."""

    def __init__(self, problems: tuple[SettingsProblem, ...]) -> None:
        """Store the problems; the message has one line for each."""
        lines = '\n'.join(str(problem) for problem in problems)
        super().__init__(lines, step=_STEP)
        self.problems = problems


def load_settings(
    path: Path,
    model: type[AnySettings],
) -> Result[AnySettings, SettingsError]:
    """Read a settings file and validate it against its model."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return _single_problem(path, '-', str(exc))
    return parse_settings(text, path, model)


def parse_settings(
    text: str,
    path: Path,
    model: type[AnySettings],
) -> Result[AnySettings, SettingsError]:
    """Parse the text of a settings file and validate it against its model."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return _single_problem(path, '-', str(exc))
    problems = tuple(check_table(raw, model, str(path)))
    if problems:
        return Err(SettingsError(problems))
    try:
        return Ok(model.from_table(raw))
    except ValidationError as exc:
        # Rules that span several keys, from ``__post_init__``.
        return _single_problem(path, '-', str(exc))


def _single_problem(path: Path, key: str, message: str) -> Err[SettingsError]:
    return Err(SettingsError((SettingsProblem(str(path), key, message),)))
