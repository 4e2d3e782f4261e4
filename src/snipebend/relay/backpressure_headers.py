"""Parses rate limits and backoff times from response headers.

Performs no I/O.
"""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

from snipebend.relay.facts import AnnouncedLimit, BackoffRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

_MS = 1000

#: With any other status, a retry time is addressed to the caller.
_REFUSALS = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


def parse_limit(header_values: Sequence[str]) -> AnnouncedLimit | None:
    """Return the lowest readable limit, or None if there is no such header.

    ``header_values`` are decimal numbers of requests per second, either one per
    value or several separated by commas.
    """
    if not header_values:
        return None
    return AnnouncedLimit(min(_read_decimals(header_values), default=None))


def parse_backoff(
    status: int, header_values: Sequence[str]
) -> BackoffRequest | None:
    """Return the longest readable backoff, or None if none is requested.

    ``status`` is the status of the response; ``header_values`` are decimal
    numbers of seconds.
    """
    if not header_values or status not in _REFUSALS:
        return None
    return BackoffRequest(max(_read_decimals(header_values), default=None))


def parse_cold_time(header_values: Sequence[str]) -> float | None:
    """Return the longest readable time for which an upstream stays cold.

    ``header_values`` are decimal numbers of milliseconds; the result is in
    seconds, and None if none is stated readably.
    """
    cold_ms = max(_read_decimals(header_values), default=None)
    return None if cold_ms is None else cold_ms / _MS


def _read_decimals(header_values: Sequence[str]) -> list[float]:
    return [
        number
        for text in ','.join(header_values).split(',')
        if (number := _read_decimal(text)) is not None
    ]


def _read_decimal(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
