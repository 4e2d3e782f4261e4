"""How long a request at an entry will wait for its turn.

Performs no I/O.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, NamedTuple

from snipebend.relay.served_shares import MIN_SHARE
from snipebend.relay.upstreams import LEFT_PLACE_S

if TYPE_CHECKING:
    from snipebend.relay.other_entries import OtherEntries
    from snipebend.relay.request_rates import RequestRates
    from snipebend.relay.waiter import Waiter
    from snipebend.relay.waiting_requests import WaitingRequests

#: Share of the rate at which places come free that counts as spare for late
#: requests; with less, they would wait for nothing.
MIN_SPARE_SHARE = 0.05

#: Factor by which expected waits are too short at times: refused early, a
#: caller loses less than if it waits in vain.
WAIT_MARGIN = 1.5


class Demand(NamedTuple):
    """What waits and arrives, here and at the other entries."""

    waiting: WaitingRequests
    others: OtherEntries
    #: Of this entry.
    rates: RequestRates
    #: Entries that call the same upstreams, with this one.
    entries: int


class Supply(NamedTuple):
    """The rates at which places come free, per second."""

    #: By the ends of this entry's calls; 0: unknown.
    own_per_s: float
    #: By the ends of all entries' calls; 0: unknown.
    all_per_s: float


def expect_wait_s(
    waiter: Waiter, demand: Demand, supply: Supply, now: float
) -> float:
    """Return seconds until the turn of a request that can be on time."""
    if not supply.own_per_s:
        return 0
    return min(
        _expect_own_place_s(waiter, demand, supply.own_per_s, now),
        _expect_shared_place_s(waiter, demand, supply.all_per_s, now),
    )


def expect_late_wait_s(demand: Demand, supply: Supply, now: float) -> float:
    """Return seconds until the turn of a request that is late."""
    spare_per_s = find_spare_per_s(demand, supply, now)
    return len(demand.waiting) / spare_per_s if spare_per_s else inf


def find_spare_per_s(demand: Demand, supply: Supply, now: float) -> float:
    """Return the rate of places that no punctual request needs."""
    spare_per_s = supply.own_per_s - demand.rates.total(now)
    if spare_per_s < MIN_SPARE_SHARE * supply.own_per_s:
        return 0
    return spare_per_s


def _expect_own_place_s(
    waiter: Waiter, demand: Demand, places_per_s: float, now: float
) -> float:
    """Return seconds until this entry hands on one of its places."""
    priority = waiter.priority
    total = demand.rates.total(now)
    floor = MIN_SHARE * demand.rates.of(priority, now)
    if total > places_per_s:
        floor *= places_per_s / total
    rate = max(floor, places_per_s - demand.rates.below(priority, now))
    ahead = demand.waiting.count_ahead(waiter)
    return WAIT_MARGIN * ahead / rate if rate else inf


def _expect_shared_place_s(
    waiter: Waiter, demand: Demand, places_per_s: float, now: float
) -> float:
    """Return seconds until a place that another entry has left is free.

    It comes to the most urgent requests of all entries, a little later than to
    those of the entry that left it.
    """
    priority = waiter.priority
    others = demand.others
    if not places_per_s or demand.rates.below(priority, now):
        return inf
    ahead = demand.waiting.count_ahead(waiter) + others.count(priority)
    return LEFT_PLACE_S + WAIT_MARGIN * ahead / places_per_s
