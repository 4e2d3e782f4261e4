"""When a refused caller shall come back (pure).

Callers come back once or twice, and wait for a third of their time at most.
"""

from __future__ import annotations

#: Bounds of the wait while all places are taken: about one work item.
FULL_LEAST_S = 0.1
FULL_MOST_S = 0.4

#: Bounds of the wait while nobody can serve, as shares of the caller's time
#: left: a group of engines forms anew within seconds, control elects a leader
#: in one or two, and a caller that came back too early doesn't come again.
OUT_LEAST_SHARE = 0.2
OUT_MOST_SHARE = 0.33

#: The longest wait: an outage of a part rarely lasts longer than a restart.
OUT_MOST_S = 2.5


#: Share of its time left that a request waits here until the entry knows a
#: document: 1.6 s of 8 s. After all processes were killed, a leader is elected
#: and heard of 0.2 to 1.2 s after entries listen; callers abandon what is held
#: for 2 s.
WAIT_SHARE = 0.2


def wait_until(now: float, deadline: float) -> float:
    """Return until when a request may wait for a document."""
    return now + WAIT_SHARE * max(0, deadline - now)


def when_full(draw: float) -> float:
    """Return seconds until a place may be free; ``draw`` is over [0, 1)."""
    return FULL_LEAST_S + draw * (FULL_MOST_S - FULL_LEAST_S)


def when_known(after_s: float, draw: float) -> float:
    """Return seconds until upstreams take work again, spread by the draw."""
    return after_s + when_full(draw)


def when_out(time_left_s: float, draw: float) -> float:
    """Return seconds until an outage may be over, spread by the draw."""
    share = OUT_LEAST_SHARE + draw * (OUT_MOST_SHARE - OUT_LEAST_SHARE)
    return min(OUT_MOST_S, share * max(0, time_left_s))
