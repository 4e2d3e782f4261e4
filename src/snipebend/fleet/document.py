"""Read the text of a fleet file into plain TOML tables."""

from __future__ import annotations

import re
import tomllib
from typing import Any

from snipebend.fleet.draft import Fault

_TOML_POSITION = re.compile(r'^(?P<why>.*) \(at (?P<where>line \d+), .*\)$')

_MAX_KEY_DEPTH = 32
# The parser takes quadratic time in the parts of one dotted key: a line of a
# megabyte would hold it for minutes.
_DEEP_KEY = re.compile(
    r"""(?:(?:(?<![\w-])[\w-]++|"[^"\n]*+"|'[^'\n]*+')[ \t]*+\.[ \t]*+){%d}"""
    % _MAX_KEY_DEPTH,
    re.ASCII,
)


def read_document(text: str) -> dict[str, Any] | Fault:
    """Return the file's top table, or why there is none."""
    if _DEEP_KEY.search(text) is not None:
        return Fault('file', f'a key has over {_MAX_KEY_DEPTH} dotted parts')
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return _syntax_fault(str(exc))
    except (ValueError, RecursionError):
        # Numbers of thousands of digits, and arrays nested as deep.
        return Fault('file', 'a value is too long or nested too deeply')
    return document or Fault('file', 'the file is empty')


def _syntax_fault(message: str) -> Fault:
    found = _TOML_POSITION.match(message)
    if found is None:
        return Fault('end of file', message)
    return Fault(found['where'], found['why'])
