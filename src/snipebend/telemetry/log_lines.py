"""Log lines read back: the life of one request across processes (pure)."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

#: A name, and a word or a quoted text as ``repr`` writes it.
_PAIR = re.compile(r"(\w+)=('(?:[^'\\]|\\.)*'|\"(?:[^\"\\]|\\.)*\"|\S+)")

#: Events that tell by what a process decided, until the next one of the kind.
BELIEFS = frozenset(
    (
        'document_in_force',
        'control_lost',
        'control_found',
        'upstream_seen',
        'entry_silent',
    )
)


class LogLine(NamedTuple):
    """One line with its pairs."""

    text: str
    pairs: dict[str, str]

    @property
    def time(self) -> str:
        """Return when it was written; sorts as text."""
        return self.pairs.get('time', '')


def render_json(text: str) -> str:
    """Return a line of pairs as one of JSON; what is no event, as its text."""
    line = read_line(text)
    pairs = line.pairs if line else {'text': text.rstrip()}
    return f'{json.dumps(pairs)}\n'


def read_line(text: str) -> LogLine | None:
    """Read one line in either form; nothing if it is no event."""
    if text.startswith('{'):
        pairs = _read_json(text)
    else:
        found = _PAIR.findall(text)
        pairs = {name: quoted.strip('\'"') for name, quoted in found}
    return LogLine(text.rstrip(), pairs) if 'event' in pairs else None


def explain(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return a request's lines in time, and the beliefs they rest on.

    Beliefs are each process's latest ones before its first line about the
    request, and those about the request's upstreams while it lasted.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if _is_about(line, request_id)]
    if not own:
        return []
    upstreams = {line.pairs.get('upstream', '') for line in own} - {''}
    processes = {line.pairs.get('process', '') for line in own}
    beliefs = [
        line
        for line in ordered
        if line.pairs['event'] in BELIEFS
        and line.pairs.get('process', '') in processes
        and line.time <= own[-1].time
    ]
    wanted = _latest(beliefs, own[0].time, upstreams)
    return sorted((*wanted, *own), key=lambda line: line.time)


def _read_json(text: str) -> dict[str, str]:
    try:
        found = json.loads(text)
    except json.JSONDecodeError:
        # Cut off, by a process that was killed as it wrote.
        return {}
    return {name: str(one) for name, one in found.items()}


def _is_about(line: LogLine, request_id: str) -> bool:
    return line.pairs.get('request') == request_id


def _latest(
    beliefs: list[LogLine], first_time: str, upstreams: set[str]
) -> list[LogLine]:
    kept: dict[tuple[str, ...], LogLine] = {}
    later: list[LogLine] = []
    for line in beliefs:
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
        kept[(process, line.pairs['event'], upstream, peer)] = line
    return [*kept.values(), *later]
