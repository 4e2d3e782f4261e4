"""A limit of requests as an upstream names it in words (pure)."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from snipebend.relay.facts import NamedLimit

if TYPE_CHECKING:
    from collections.abc import Sequence


def read_limit(texts: Sequence[str]) -> NamedLimit | None:
    """Return the lowest of the limits that can be read; none: none is named.

    ``texts`` are requests a second as decimal numbers, each alone or several
    with commas between.
    """
    if not texts:
        return None
    found = [
        per_s
        for text in ','.join(texts).split(',')
        if (per_s := _read_rate(text)) is not None
    ]
    return NamedLimit(min(found, default=None))


def _read_rate(text: str) -> float | None:
    try:
        per_s = float(text)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0 else None
