"""``Retry-After`` values for refused callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

#: Bounds of ``Retry-After``.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
#: ``Retry-After`` exceeds the estimate by a random share up to this one, so
#: that callers refused at the same time do not retry at the same time.
JITTER = 0.5
#: Estimate without any upstream: about the time until one announces itself.
NO_UPSTREAM_RETRY_S = 2.0
#: Estimate while all upstreams are busy.
BUSY_RETRY_S = 0.05


def retry_after(
    estimate_s: float, rng: Random, *, min_s: float = MIN_RETRY_AFTER_S
) -> float:
    """Return ``Retry-After`` in seconds: the bounded estimate plus jitter."""
    bounded = max(min_s, min(MAX_RETRY_AFTER_S, estimate_s))
    return bounded * (1 + JITTER * rng.random())
