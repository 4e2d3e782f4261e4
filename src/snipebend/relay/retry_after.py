"""Computes when a refused caller should retry.

Performs no I/O. Callers retry once or twice, and wait for at most a third of
their timeout.
"""

from __future__ import annotations

#: Bounds of the wait while all slots are occupied: about one work item.
BUSY_MIN_S = 0.1
BUSY_MAX_S = 0.4

#: Bounds of the wait during an outage, as shares of the caller's time left: a
#: group of engines re-forms within seconds, control elects a leader in one or
#: two, and a caller that retried too early doesn't retry again.
OUTAGE_MIN_SHARE = 0.2
OUTAGE_MAX_SHARE = 0.33

#: The longest wait: a partial outage rarely lasts longer than a restart.
OUTAGE_MAX_S = 2.5


#: Share of its time left for which a request is held until the entry has a
#: document: 1.6 s of 8 s. After all processes were killed, entries receive the
#: first update of an elected leader 0.2 to 1.2 s after they listen; callers
#: abandon requests that are held for 2 s.
DOCUMENT_WAIT_SHARE = 0.2


def document_wait_deadline(now: float, deadline: float) -> float:
    """Return the time until which a request may be held for a document."""
    return now + DOCUMENT_WAIT_SHARE * max(0, deadline - now)


def busy_retry_after_s(sample: float) -> float:
    """Return seconds until a slot may be free; ``sample`` is in [0, 1)."""
    return BUSY_MIN_S + sample * (BUSY_MAX_S - BUSY_MIN_S)


def capacity_retry_after_s(retry_after_s: float, sample: float) -> float:
    """Return seconds until upstreams have capacity, with random jitter."""
    return retry_after_s + busy_retry_after_s(sample)


def outage_retry_after_s(time_left_s: float, sample: float) -> float:
    """Return seconds until an outage may have ended, with random jitter."""
    share = OUTAGE_MIN_SHARE + sample * (OUTAGE_MAX_SHARE - OUTAGE_MIN_SHARE)
    return min(OUTAGE_MAX_S, share * max(0, time_left_s))
