"""Parsing of log lines, and the history of one request across processes.

Performs no I/O.
"""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

#: A name with a word or a quoted string in the format of ``repr``.
_PAIR = re.compile(r"(\w+)=('(?:[^'\\]|\\.)*'|\"(?:[^\"\\]|\\.)*\"|\S+)")

#: Events that report a change in what a process bases its decisions on: the
#: active document, the connection to a control daemon, the record of an
#: upstream, or another entry. What an event reports is valid until the next
#: event with the same name about the same upstream or peer.
STATE_EVENTS = frozenset(
    (
        'document_in_force',
        'control_lost',
        'control_found',
        'upstream_seen',
        'entry_silent',
    )
)


class LogLine(NamedTuple):
    """A log line and its key=value pairs."""

    text: str
    pairs: dict[str, str]

    @property
    def time(self) -> str:
        """Return the time of writing; its text sorts chronologically."""
        return self.pairs.get('time', '')


def render_json(text: str) -> str:
    """Convert a line of pairs to JSON; a line without event, as plain text."""
    line = read_line(text)
    pairs = line.pairs if line else {'text': text.rstrip()}
    return f'{json.dumps(pairs)}\n'


def read_line(text: str) -> LogLine | None:
    """Parse a line in either format; ``None`` for a line without event."""
    if text.startswith('{'):
        pairs = _read_json(text)
    else:
        found = _PAIR.findall(text)
        pairs = {name: quoted.strip('\'"') for name, quoted in found}
    return LogLine(text.rstrip(), pairs) if 'event' in pairs else None


def explain(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return a request's lines by time, with the state events behind them.

    These are the latest state events of each process before the first line
    about the request, and the later ones until the request's last line.
    Events about upstreams other than the request's are left out.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = [line for line in ordered if _is_about(line, request_id)]
    if not request_lines:
        return []
    upstreams = {line.pairs.get('upstream', '') for line in request_lines} - {
        ''
    }
    processes = {line.pairs.get('process', '') for line in request_lines}
    state_lines = [
        line
        for line in ordered
        if line.pairs['event'] in STATE_EVENTS
        and line.pairs.get('process', '') in processes
        and line.time <= request_lines[-1].time
    ]
    relevant = _latest(state_lines, request_lines[0].time, upstreams)
    return sorted((*relevant, *request_lines), key=lambda line: line.time)


def _read_json(text: str) -> dict[str, str]:
    try:
        found = json.loads(text)
    except json.JSONDecodeError:
        # Truncated, because the process was killed while writing.
        return {}
    return {name: str(field) for name, field in found.items()}


def _is_about(line: LogLine, request_id: str) -> bool:
    return line.pairs.get('request') == request_id


def _latest(
    state_lines: list[LogLine], first_time: str, upstreams: set[str]
) -> list[LogLine]:
    latest: dict[tuple[str, ...], LogLine] = {}
    later: list[LogLine] = []
    for line in state_lines:
        upstream = line.pairs.get('upstream', '')
        if upstream and upstream not in upstreams:
            continue
        if line.time > first_time:
            later.append(line)
            continue
        peer = line.pairs.get('peer', '')
        if line.pairs['event'] == 'document_in_force':
            peer = ''
        process = line.pairs.get('process', '')
        latest[(process, line.pairs['event'], upstream, peer)] = line
    return [*latest.values(), *later]
