"""What a change of map gains and costs the streams of its group (pure).

The load: a demand that stays, while the map in force was planned from the few
counts after a turn. Each pass is longer than it need be by a tenth or two: what
a look finds is too little for the next second, and much for the next ten.
"""

from __future__ import annotations

#: Seconds that a demand is taken to last from now on, beside the seconds for
#: which it has lasted already.
FIRST_LASTS_S = 1.0

#: Seconds that it is taken to last at most: it may turn at any moment.
MOST_LASTS_S = 10.0

#: Share by which passes are longer while ranks fetch experts.
FETCH_DRAG = 0.15

#: Seconds of passes that a switch itself costs: the pass that it holds back,
#: and the streams under way that this makes late.
SWITCH_S = 0.4

#: A saving that pays for a change whatever the age of the demand: passes are as
#: long as they are because it has turned.
ENOUGH_SAVING = 0.2


def lasts_s(known_s: float) -> float:
    """Return how long a demand lasts that was the same for so many seconds."""
    return min(MOST_LASTS_S, FIRST_LASTS_S + known_s)


def least_saving(known_s: float, fetch_s: float) -> float:
    """Return the relative fall of a pass's length that pays for a change.

    ``fetch_s`` is how long the rank fetches that fetches most.
    """
    cost_s = SWITCH_S + FETCH_DRAG * fetch_s
    return min(ENOUGH_SAVING, cost_s / lasts_s(known_s))
