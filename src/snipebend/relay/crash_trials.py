"""Decides when a quarantined prompt part is tried again.

Performs no I/O.

Where nothing that ran has outlived the ends, a sound part may be taken for the
cause, such as one that all requests share. A part that upstreams had outlived
before is therefore tried again a few times, with a request whose other parts
upstreams had outlived, too.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.relay.crash_suspect import CrashSuspect

#: Seconds from the last end, or the last trial, until the next trial, doubled
#: with each trial under which an upstream ended.
TRIAL_INTERVAL_S = 5.0

#: Such trials after which a part is not tried again.
MAX_FAILED_TRIALS = 3

#: Entries delay their trials by different times up to this many seconds, so
#: that they don't try a part together.
MAX_TRIAL_DELAY_S = 2.0


def may_try(
    quarantined: Iterable[CrashSuspect],
    others: Iterable[CrashSuspect],
    now: float,
    delay_s: float,
) -> bool:
    """Return whether a request with these suspect parts may run as a trial.

    ``delay_s`` is added to the time of each trial.
    """
    if not all(suspect.has_survivals for suspect in others):
        return False
    return all(
        suspect.has_survivals and now >= trial_due_at(suspect) + delay_s
        for suspect in quarantined
    )


def trial_due_at(suspect: CrashSuspect) -> float:
    """Return when a quarantined part may be tried; infinity for never."""
    if suspect.failed_trials >= MAX_FAILED_TRIALS:
        return math.inf
    last_at = max(suspect.last_ended_at, suspect.trial_at)
    return last_at + math.ldexp(TRIAL_INTERVAL_S, suspect.failed_trials)
