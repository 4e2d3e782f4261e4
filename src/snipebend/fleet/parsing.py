"""Parse a fleet file: TOML, then structure and types, then references.

All problems are reported at once: an invalid entry doesn't hide the faults of
the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from result import Err, Ok

from snipebend.errors.hierarchy import InvalidInputError
from snipebend.fleet.checks import check_references
from snipebend.fleet.document import decode_document
from snipebend.fleet.draft import Fault
from snipebend.fleet.model import Fleet
from snipebend.fleet.tables import validate_tables

if TYPE_CHECKING:
    from collections.abc import Iterable

    from result import Result

    from snipebend.fleet.draft import Draft
    from snipebend.fleet.schema import HeadTable

MAX_FILE_BYTES = 1_048_576


class Problem(NamedTuple):
    """A fault of a file, with the file's name, the key and the reason."""

    source: str
    key: str
    message: str

    def __str__(self) -> str:
        """Render as ``source: key: message``."""
        return f'{self.source}: {self.key}: {self.message}'


class FleetFileError(InvalidInputError):
    """A fleet file is invalid; holds all problems found."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Store the problems; the message has one line for each."""
        lines = '\n'.join(str(problem) for problem in problems)
        super().__init__(lines, step='parse-fleet')
        self.problems = problems


def parse_fleet(text: str, source: str) -> Result[Fleet, FleetFileError]:
    """Parse and validate a fleet file; ``source`` names it in the problems.

    A file larger than ``MAX_FILE_BYTES`` is rejected before parsing.
    """
    if _is_too_large(text):
        large = Fault('file', f'larger than {MAX_FILE_BYTES} bytes')
        return Err(_error(source, (large,)))
    document = decode_document(text)
    if isinstance(document, Fault):
        return Err(_error(source, (document,)))
    head, draft, faults = validate_tables(document)
    faults += tuple(check_references(draft))
    if head is None or faults:
        return Err(_error(source, faults))
    return Ok(_to_fleet(head, draft))


def _is_too_large(text: str) -> bool:
    if len(text) > MAX_FILE_BYTES:
        return True
    return len(text.encode('utf-8', 'surrogatepass')) > MAX_FILE_BYTES


def _to_fleet(head: HeadTable, draft: Draft) -> Fleet:
    records: dict[str, Any] = {
        section: tuple(table.record() for table in entries.values())
        for section, entries in draft.tables.items()
    }
    return Fleet(
        name=head.name,
        stale_policy=head.stale_policy,
        weights=head.weights.record(),
        routing=head.routing.record(),
        **records,
    )


def _error(source: str, faults: Iterable[Fault]) -> FleetFileError:
    return FleetFileError(
        tuple(Problem(source, fault.key, fault.message) for fault in faults)
    )
