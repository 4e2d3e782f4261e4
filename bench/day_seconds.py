"""Summarizes the logs of a simulated day per second.

``python -m bench.day_seconds LOG [--from S] [--to S]`` reads the log lines of
all processes, each prefixed with its simulated time and its process. For each
second it prints how many requests of the busiest service began and were in
flight, the median and maximum time to the first event of those that began,
refusals with their reasons, and the actions of control: elections, plans,
switches, and groups that went down.
"""

from __future__ import annotations

import re
import sys
from argparse import ArgumentParser
from collections import Counter, defaultdict
from math import floor
from pathlib import Path
from statistics import median
from typing import NamedTuple

_LINE_PATTERN = re.compile(r'^\s*(-?[\d.]+) (\S+) .*?event=(\S+) ?(.*)$')
_PAIR_PATTERN = re.compile(r"(\w+)=('[^']*'|\S+)")

#: Events of control that may explain delays and refusals of requests.
_CONTROL_EVENTS = frozenset(('map_planned', 'map_switch', 'group_seen'))


class LogLine(NamedTuple):
    """A log line: seconds of the day, process, event and its pairs."""

    at: float
    process: str
    event: str
    pairs: dict[str, str]


class RequestSpan(NamedTuple):
    """The time span of a request at its entry; times in seconds of the day."""

    service: str
    started_at: float
    ended_at: float
    #: Seconds from the start to the first event; ``None`` without any event.
    first_event_s: float | None


def main() -> int:
    """Print one row per second."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('log', type=Path)
    parser.add_argument('--from', dest='begin', type=int, default=0)
    parser.add_argument('--to', dest='end', type=int, default=50)
    args = parser.parse_args()
    lines = read_lines(args.log)
    requests = find_requests(lines)
    events_by_second = summarize_events(lines)
    for second in range(args.begin, args.end):
        sys.stdout.write(
            f'{render_second(second, requests)} {events_by_second[second]}\n'
        )
    return 0


def read_lines(path: Path) -> list[LogLine]:
    """Return the processes' log lines in the order of the file."""
    text = path.read_text(encoding='utf-8', errors='replace')
    return [
        LogLine(
            float(found[1]),
            found[2],
            found[3],
            dict(_PAIR_PATTERN.findall(found[4])),
        )
        for found in map(_LINE_PATTERN.match, text.splitlines())
        if found
    ]


def find_requests(lines: list[LogLine]) -> list[RequestSpan]:
    """Return the finished requests of the service with the most of them."""
    open_requests: dict[str, LogLine] = {}
    requests: list[RequestSpan] = []
    for line in lines:
        request_id = line.pairs.get('request', '')
        if line.event == 'call_begun':
            open_requests.setdefault(request_id, line)
        elif line.event == 'request_ended' and request_id in open_requests:
            first = open_requests.pop(request_id)
            first_ms = float(line.pairs['first_ms'])
            requests.append(
                RequestSpan(
                    first.pairs['service'],
                    first.at,
                    line.at,
                    first_ms / 1000 if first_ms >= 0 else None,
                )
            )
    services = Counter(request.service for request in requests)
    busiest = services.most_common(1)[0][0] if services else ''
    return [request for request in requests if request.service == busiest]


def summarize_events(lines: list[LogLine]) -> defaultdict[int, str]:
    """Return a summary of the refusals and events of control per second."""
    events_by_second: defaultdict[int, Counter[str]] = defaultdict(Counter)
    for line in lines:
        note = _describe_event(line)
        if note:
            events_by_second[floor(line.at)][note] += 1
    return defaultdict(
        str,
        {
            second: '; '.join(
                f'{occurrences} x {note}' if occurrences > 1 else note
                for note, occurrences in counts.items()
            )
            for second, counts in events_by_second.items()
        },
    )


def render_second(second: int, requests: list[RequestSpan]) -> str:
    """Render the figures of the requests in one second."""
    started = [
        request
        for request in requests
        if second <= request.started_at < second + 1
    ]
    running = sum(
        request.started_at <= second < request.ended_at for request in requests
    )
    first_delays = [
        request.first_event_s
        for request in started
        if request.first_event_s is not None
    ]
    delays = (
        f'{median(first_delays):5.2f} {max(first_delays):5.2f}'
        if first_delays
        else '    -     -'
    )
    return (
        f'{second:4d} began {len(started):3d} '
        f'running {running:3d} first {delays}'
    )


def _describe_event(line: LogLine) -> str:
    pairs = line.pairs
    if line.event == 'refused':
        return f'refused {pairs["status"]} {pairs.get("detail", "")}'
    if line.event == 'role' and pairs.get('role') == 'leader':
        return f'{line.process} leads'
    if line.event == 'group_standing' and pairs.get('phase') == 'down':
        return f'{pairs["group"]} down'
    if line.event in _CONTROL_EVENTS:
        return f'{line.event} {pairs.get("group", "")}'
    return ''


if __name__ == '__main__':
    sys.exit(main())
