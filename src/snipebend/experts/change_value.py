"""Relative saving that a change of the expert map must bring; no I/O.

Right after a shift of demand, a map is planned from few counts, and passes stay
10 to 20% longer than with the best map. If the same demand lasts, a later
refinement of the map saves too little to pay off within the next second, but
much over the next ten seconds. So the required saving falls as the expected
remaining lifetime of the demand grows.
"""

from __future__ import annotations

#: Seconds that a demand is expected to last from now on, in addition to its
#: age, if no shift of demand has been observed yet.
BASE_REMAINING_S = 1.0

#: Lower bound of the expected remaining lifetime, in seconds.
MIN_REMAINING_S = 0.1

#: A demand that has lasted this many times as long as the previous one is
#: expected to stay.
STABLE_AGE_RATIO = 2

#: Upper bound of the expected remaining lifetime, in seconds, since demand may
#: shift at any moment.
MAX_REMAINING_S = 10.0

#: Relative increase of the pass time while ranks fetch experts.
FETCH_SLOWDOWN = 0.15

#: Seconds of pass time that a switch itself costs: the delayed pass, and the
#: active streams that become late because of it.
SWITCH_COST_S = 0.4

#: Saving that is always sufficient, whatever the age of the demand: passes that
#: can be shortened by this much have become long because demand has shifted.
MAX_REQUIRED_SAVING = 0.2


class DemandAge:
    """Age of the current demand, and lifetime of the previous one.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Create the state before any demand is determined."""
        self._since: float | None = None
        #: Lifetime of the previous demand in seconds; 0 if there was none.
        self.previous_lifetime_s: float = 0

    @property
    def is_unset(self) -> bool:
        """Return whether no demand has been determined yet."""
        return self._since is None

    def note_shift(self, since: float) -> None:
        """Record that a different demand has been in effect since then."""
        if self._since is not None:
            self.previous_lifetime_s = since - self._since
        self._since = since

    def age_s(self, now: float) -> float:
        """Return the age of the current demand in seconds."""
        return 0 if self._since is None else now - self._since


def expected_remaining_s(age_s: float, previous_lifetime_s: float) -> float:
    """Return the seconds that the current demand is expected to last.

    ``age_s`` is its age, ``previous_lifetime_s`` the lifetime of the demand
    before it (0: none). Where demand shifts every two seconds, a change that
    isn't urgent would delay the response to the next shift.
    """
    if age_s < STABLE_AGE_RATIO * previous_lifetime_s:
        return max(MIN_REMAINING_S, previous_lifetime_s - age_s)
    return min(MAX_REMAINING_S, BASE_REMAINING_S + age_s)


def required_saving(
    age_s: float, previous_lifetime_s: float, fetch_s: float
) -> float:
    """Return the relative reduction of the pass time that pays off.

    ``fetch_s`` is the fetch time of the rank that fetches most.
    """
    cost_s = SWITCH_COST_S + FETCH_SLOWDOWN * fetch_s
    return min(
        MAX_REQUIRED_SAVING,
        cost_s / expected_remaining_s(age_s, previous_lifetime_s),
    )
