"""What an upstream states of itself in an answer, read from words (pure)."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

from snipebend.relay.facts import NamedLimit, RestAsked

if TYPE_CHECKING:
    from collections.abc import Sequence

#: With another status, the same words tell the caller when to come back.
_REFUSALS = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


def read_limit(texts: Sequence[str]) -> NamedLimit | None:
    """Return the lowest of the limits that can be read; none: none is named.

    ``texts`` are requests a second as decimal numbers, each alone or several
    with commas between.
    """
    if not texts:
        return None
    return NamedLimit(min(_read_decimals(texts), default=None))


def read_rest(status: int, texts: Sequence[str]) -> RestAsked | None:
    """Return the longest rest that can be read; none: none is asked for.

    ``status`` is the answer's; ``texts`` are seconds as decimal numbers.
    """
    if not texts or status not in _REFUSALS:
        return None
    return RestAsked(max(_read_decimals(texts), default=None))


def _read_decimals(texts: Sequence[str]) -> list[float]:
    return [
        number
        for text in ','.join(texts).split(',')
        if (number := _read_decimal(text)) is not None
    ]


def _read_decimal(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
