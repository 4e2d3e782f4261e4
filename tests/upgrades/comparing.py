"""What is compared of two answers, and what is left out."""

from __future__ import annotations

import json
from typing import Any

#: Fields that name a time, a term, who leads, or how far a log is.
MOVING = frozenset(
    (
        'term',
        'leader',
        'leads',
        'role',
        'applied',
        'committed',
        'applied_index',
        'commit_index',
        'base_index',
        'confirmed_ago_s',
        'elapsed_s',
        'news_age_s',
        'caught_up',
        'complete',
        # Grows while upstreams are announced again and again.
        'sequence',
        'ready',
        # Follow from who leads: its coordinators, its tasks, its groups.
        'experts',
        'groups',
        'balancer',
        'tasks',
        # The administrative port, which is chosen at each start.
        'admin',
        # Open connections, ours among them.
        'connections',
    )
)

#: Fields in which daemons of one group differ, and addresses of their ports.
OWN = frozenset(('member', 'member_id', 'process', 'address'))

_MOST_SHOWN = 3
_MOST_CHARACTERS = 160


def still(answer: Any, left_out: frozenset[str] = MOVING) -> Any:
    """Return an answer as plain JSON, without the fields left out."""
    match answer:
        case bytes():
            return {'bytes': answer.hex()}
        case dict():
            return {
                str(name): still(part, left_out)
                for name, part in answer.items()
                if name not in left_out
            }
        case list() | tuple():
            return [still(part, left_out) for part in answer]
    return answer


def differences(expected: Any, got: Any, place: str = '') -> list[str]:
    """Return where two plain answers differ, each with both sides."""
    if isinstance(expected, dict) and isinstance(got, dict):
        names = sorted(expected.keys() | got.keys())
        pairs = [
            (name, expected.get(name, '<none>'), got.get(name, '<none>'))
            for name in names
        ]
    elif _are_lists(expected, got):
        numbered = zip(range(len(got)), expected, got, strict=True)
        pairs = [(str(number), *pair) for number, *pair in numbered]
    elif expected == got:
        return []
    else:
        return [f'{place}: expected {_short(expected)}, got {_short(got)}']
    return [
        line
        for name, one, other in pairs
        for line in differences(one, other, f'{place}/{name}')
    ]


def summary(found: list[str]) -> str:
    """Return the first differences on one line, and how many there are."""
    shown = '; '.join(found[:_MOST_SHOWN])
    more = len(found) - _MOST_SHOWN
    return f'{shown}; and {more} more' if more > 0 else shown


def _are_lists(expected: Any, got: Any) -> bool:
    both = isinstance(expected, list) and isinstance(got, list)
    return both and len(expected) == len(got)


def _short(part: Any) -> str:
    text = json.dumps(part, sort_keys=True, default=str)
    if len(text) <= _MOST_CHARACTERS:
        return text
    return f'{text[:_MOST_CHARACTERS]}...'
