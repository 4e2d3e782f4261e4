"""Decode the text of a fleet file into plain TOML tables."""

from __future__ import annotations

import re
import tomllib
from typing import Any

from snipebend.fleet.draft import Fault

_TOML_POSITION = re.compile(
    r'^(?P<reason>.*) \(at (?P<position>line \d+), .*\)$'
)

_MAX_KEY_DEPTH = 32
# The TOML parser takes quadratic time in the number of parts of a dotted key:
# a line of one megabyte would block it for minutes.
_DEEP_KEY = re.compile(
    r"""(?:(?:(?<![\w-])[\w-]++|"[^"\n]*+"|'[^'\n]*+')[ \t]*+\.[ \t]*+){%d}"""
    % _MAX_KEY_DEPTH,
    re.ASCII,
)


def decode_document(text: str) -> dict[str, Any] | Fault:
    """Return the file's top-level table, or why it can't be decoded."""
    if _DEEP_KEY.search(text) is not None:
        return Fault(
            'file', f'a key has more than {_MAX_KEY_DEPTH} dotted parts'
        )
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return _syntax_fault(str(exc))
    except (ValueError, RecursionError):
        # Numbers with thousands of digits, or arrays nested thousands deep.
        return Fault('file', 'a value is too long or nested too deeply')
    return document or Fault('file', 'the file is empty')


def _syntax_fault(message: str) -> Fault:
    found = _TOML_POSITION.match(message)
    if found is None:
        return Fault('end of file', message)
    return Fault(found['position'], found['reason'])
