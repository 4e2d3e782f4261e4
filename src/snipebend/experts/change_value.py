"""What a change of map gains and costs the streams of its group (pure).

The load: a demand that stays, while the map in force was planned from the few
counts after a turn. Each pass is longer than it need be by a tenth or two: what
a look finds is too little for the next second, and much for the next ten.
"""

from __future__ import annotations

#: Seconds that a demand is taken to last from now on, beside the seconds for
#: which it has lasted already, where none turned yet.
FIRST_LASTS_S = 1.0

#: Least seconds that a demand is taken to last.
LEAST_LASTS_S = 0.1

#: A demand that has lasted so many times as long as the last one stays.
STAYS_AFTER = 2

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


class DemandAge:
    """Since when a demand is known, and how long the one before it lasted.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Start without a demand that is known."""
        self._since: float | None = None
        #: Seconds; 0: there was none.
        self.last_lasted_s: float = 0

    @property
    def is_unknown(self) -> bool:
        """Tell whether no demand was ever known."""
        return self._since is None

    def note_turn(self, since: float) -> None:
        """Take note that another demand is known since then."""
        if self._since is not None:
            self.last_lasted_s = since - self._since
        self._since = since

    def known_s(self, now: float) -> float:
        """Return the seconds for which it has lasted."""
        return 0 if self._since is None else now - self._since


def lasts_s(known_s: float, last_lasted_s: float) -> float:
    """Return how long a demand lasts that was the same for so many seconds.

    ``last_lasted_s`` are the seconds of the demand before it; 0: none. Where
    demand turns each two seconds, a change that isn't urgent would stand in
    the way of the answer to the next turn.
    """
    if known_s < STAYS_AFTER * last_lasted_s:
        return max(LEAST_LASTS_S, last_lasted_s - known_s)
    return min(MOST_LASTS_S, FIRST_LASTS_S + known_s)


def least_saving(known_s: float, last_lasted_s: float, fetch_s: float) -> float:
    """Return the relative fall of a pass's length that pays for a change.

    ``fetch_s`` is how long the rank fetches that fetches most.
    """
    cost_s = SWITCH_S + FETCH_DRAG * fetch_s
    return min(ENOUGH_SAVING, cost_s / lasts_s(known_s, last_lasted_s))
