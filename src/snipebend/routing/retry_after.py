"""The span that a refused caller is asked to wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

#: Bounds of ``Retry-After``.
LEAST_RETRY_S = 0.5
MOST_RETRY_S = 60.0
#: ``Retry-After`` is drawn from the estimate up to this much more, so that
#: callers refused together don't come back together.
JITTER = 0.5
#: When no upstream is there: about the time until one has announced itself.
NO_UPSTREAM_RETRY_S = 2.0
#: When the upstreams are only taken for the moment.
BUSY_RETRY_S = 0.05


def retry_after(
    estimate_s: float, rng: Random, *, least_s: float = LEAST_RETRY_S
) -> float:
    """Return the span for ``Retry-After``, with jitter."""
    bounded = max(least_s, min(MOST_RETRY_S, estimate_s))
    return bounded * (1 + JITTER * rng.random())
