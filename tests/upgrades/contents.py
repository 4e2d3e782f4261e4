"""What is written into a control group, as fields on the wire."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

from msgspec import msgpack

from tests.upgrades import paths
from tests.upgrades.wire import call

if TYPE_CHECKING:
    from pathlib import Path

#: Wall time in seconds, in the year 2100: nothing that is written ends before.
FAR = 4_102_444_800.0

#: Seconds, almost a year: deaths are remembered twice as long.
_QUARANTINE_S = 31_000_000

#: Seconds for which a confirmation of the configuration is remembered.
_LEASE_S = 600

#: Writes on top of the others, so that more than one snapshot is due.
MANY = 90

ANSWER = MappingProxyType(
    {
        'status': 201,
        'content_type': 'application/json',
        'body': b'{"entry": 7}',
    }
)


class Request(NamedTuple):
    """One call, under a name for reports."""

    name: str
    path: str
    fields: dict[str, Any]


def fleet_text(example: Path) -> str:
    """Return an example file whose times outlast the data."""
    text = example.read_text('utf-8')
    text = re.sub('quarantine_s = .*', f'quarantine_s = {_QUARANTINE_S}', text)
    return re.sub('config_lease_s = .*', f'config_lease_s = {_LEASE_S}.0', text)


def holder(request_id: str, attempt: int = 1) -> dict[str, Any]:
    """Return an attempt that holds a key."""
    return {
        'request_id': request_id,
        'attempt': attempt,
        'entry': 'entry-1',
        'upstream': 'application-1',
        'grpc_address': '127.0.0.1:7001',
        'incarnation': 3,
        'deadline_at': FAR,
    }


def claim(key: str, request_id: str, print_of: str = '') -> Request:
    """Return the claim of a key by a request's first attempt."""
    fields = {
        'workspace': 'immobau-zuerich',
        'key': key,
        'fingerprint': print_of or f'print-{key}',
        'holder': holder(request_id),
        'expires_at': FAR,
    }
    name = f'claim {key} by {request_id} {print_of}'.strip()
    return Request(name, paths.CLAIM, fields)


def settle(
    key: str,
    request_id: str,
    settlement: str,
    answer: dict[str, Any] | None = None,
) -> Request:
    """Return the settlement of a key's attempt."""
    fields = {
        'workspace': 'immobau-zuerich',
        'key': key,
        'request_id': request_id,
        'attempt': 1,
        'settlement': settlement,
        'answer': answer,
    }
    return Request(f'settle {key} {settlement}', paths.SETTLE, fields)


def claims_of(part: str) -> list[Request]:
    """Return claims that stay open, ran, didn't run or have no known end."""
    named = {end: f'{part}-{end}' for end in ('open', 'ran', 'not', 'unknown')}
    return [
        *(claim(key, f'r-{key}') for key in named.values()),
        settle(named['ran'], f'r-{named["ran"]}', 'ran', dict(ANSWER)),
        settle(named['not'], f'r-{named["not"]}', 'not-run'),
        settle(named['unknown'], f'r-{named["unknown"]}', 'unknown'),
        claim(named['not'], 'second'),
    ]


def fence(group: str, who: str = 'c', **fields: Any) -> Request:
    """Return the request for a fence."""
    asked = {'group': group, 'holder': who, 'lease_until': FAR, **fields}
    return Request(f'fence {group} by {who}', paths.TAKE_FENCE, asked)


def fences_of(part: str) -> list[Request]:
    """Return fences that are held, renewed, refused and released."""
    return [
        fence(f'{part}-held'),
        fence(f'{part}-held', renews=1),
        fence(f'{part}-held', 'other'),
        fence(f'{part}-released'),
        fence(f'{part}-released', releases=True),
        fence(f'suspect:{part}'),
        fence(f'{part}-map'),
        fence(f'{part}-aborted'),
    ]


def crashes_of(part: str) -> list[Request]:
    """Return deaths that make suspects, one in quarantine, one cleared."""
    alone, shared, cleared = (f'{part}-{end}' for end in 'abc')
    deaths: list[tuple[int, list[str], bool]] = [
        (1, [alone], True),
        (2, [alone], True),
        (3, [shared, cleared], False),
    ]
    reports = [
        Request(
            f'crash {number}',
            paths.REPORT_CRASH,
            {
                'upstream': f'{part}-upstream',
                'incarnation': number,
                'fingerprints': prints,
                'ran_alone': ran_alone,
            },
        )
        for number, prints, ran_alone in deaths
    ]
    clearing = {'fingerprint': cleared, 'deaths': 1}
    return [*reports, Request('clear', paths.CLEAR_SUSPECT, clearing)]


def maps_of(part: str) -> list[Request]:
    """Return decisions on expert maps: decided, bumped, aborted, refused."""
    decision = {
        'stamp': {'incarnation': 0, 'map_version': 1},
        'step': 120,
        'digest': 'd-1',
        'members': ['rank-1', 'rank-2'],
        'placement': b'\x01\x02\x03',
    }
    decided = {'type': 'Decide', 'decision': decision}
    bumped = {'type': 'Bump', 'incarnation': 1, 'settled': 4}
    aborted = {'type': 'Abort', 'map_version': 2}
    made = (
        (f'{part}-map', 1, decided),
        (f'{part}-map', 1, bumped),
        (f'{part}-aborted', 1, aborted),
        (f'{part}-aborted', 9, decided),
    )
    return [
        Request(
            f'{change["type"]} {group}',
            paths.DECIDE_MAP,
            {'group': group, 'fence': number, 'change': change},
        )
        for group, number, change in made
    ]


def plan(group: str, version: int, after: int) -> Request:
    """Return the decision on a group's plan, on its hop to the leader."""
    made = {
        'group': group,
        'epoch': 2,
        'version': version,
        'layers': [[[0, 1], [2, 3]], [[0, 2], [1, 3]]],
    }
    return forwarded('DecideGroupPlan', {'plan': made, 'after': after})


def forwarded(kind: str, req: dict[str, Any]) -> Request:
    """Return a command as a follower passes it on to the leader."""
    command = msgpack.encode({'type': kind, 'req': req, 'at': 0.0})
    return Request(f'forward {kind}', paths.FORWARD, {'command': command})


def plans_of(part: str) -> list[Request]:
    """Return plans of a group, the second of which replaces the first."""
    return [plan(f'{part}-plan', 1, 0), plan(f'{part}-plan', 2, 1)]


def records_of(part: str) -> list[Request]:
    """Return a document and lives of upstreams, by the leader's commands."""
    upstream = {
        'identity': f'{part}-i',
        'service': 's',
        'address': '127.0.0.1:9001',
        'data_center': 'dc-1',
        'slots': 4,
        'phase': 0,
        'revision': 0,
        'born': 17,
    }
    leaving = {**upstream, 'phase': 1}
    return [
        forwarded('PutDocument', {'number': 5, 'body': b'document'}),
        forwarded('RecordUpstream', {'upstream': upstream}),
        forwarded('RecordUpstream', {'upstream': leaving}),
    ]


def many_of(part: str) -> list[Request]:
    """Return so many writes that snapshots are due."""
    return [
        claim(f'{part}-many-{number}', f'r-{number}') for number in range(MANY)
    ]


def announcements_of(part: str, sequence: int) -> list[dict[str, Any]]:
    """Return what agents say of their upstreams, for the so manieth time."""
    return [
        {
            'upstream': f'{part}-upstream-{number}',
            'policy': 'application',
            'data_center': 'dc-1',
            'http_address': f'127.0.0.1:800{number}',
            'grpc_address': f'127.0.0.1:810{number}',
            'incarnation': 5,
            'sequence': sequence,
            'phase': phase,
            'running': number,
            'queued': 2,
            'revision': 1,
            'kv_use': 0.25,
        }
        for number, phase in enumerate(('serving', 'leaving', 'down'))
    ]


async def apply(
    address: str, change: str, text: str, expected: int | None = None
) -> Any:
    """Apply a file on top of what is in force, or of a given revision."""
    if expected is None:
        shown = await call(address, paths.SHOW, {})
        expected = shown['revision']
    fields = {
        'change_id': change,
        'expected_revision': expected,
        'text': text,
        'author': 'upgrade',
    }
    return await call(address, paths.APPLY, fields)
