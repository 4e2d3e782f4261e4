"""Reads and checks the fleet file that a command names."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from result import Err, Ok, Result

from snipebend.errors.hierarchy import InvalidInputError, SnipebendError
from snipebend.fleet.lease import check_lease
from snipebend.fleet.model import Fleet
from snipebend.fleet.parsing import (
    MAX_FILE_BYTES,
    FleetFileError,
    Problem,
    parse_fleet,
)

_STEP = 'read'


class FleetFile(NamedTuple):
    """The text of a fleet file and the fleet parsed from it."""

    text: str
    fleet: Fleet


def read_fleet_file(path: Path) -> Result[FleetFile, SnipebendError]:
    """Read and check a file; one above the size limit is not read at all."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            return Err(_file_error(path, f'larger than {MAX_FILE_BYTES} bytes'))
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return Err(_file_error(path, str(exc)))
    parsed = parse_fleet(text, str(path))
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    fleet = parsed.unwrap()
    fault = check_lease(fleet.routing)
    if fault is not None:
        problem = Problem(str(path), fault.key, fault.message)
        return Err(FleetFileError((problem,)))
    return Ok(FleetFile(text, fleet))


def _file_error(path: Path, message: str) -> InvalidInputError:
    return InvalidInputError(f'{path}: -: {message}', step=_STEP)
