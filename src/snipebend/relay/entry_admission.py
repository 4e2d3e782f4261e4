"""Who of the requests at an entry is called, waits, or is refused.

Answers a load that exceeds the room of a service's upstreams: a class that
bursts, a wave's crest, ranks lost. Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.relay.expected_waits import (
    Demand,
    Supply,
    expect_late_wait_s,
    expect_wait_s,
    find_spare_per_s,
)
from snipebend.relay.other_entries import OtherEntries
from snipebend.relay.outage_estimate import OutageEstimate
from snipebend.relay.request_rates import RequestRates
from snipebend.relay.return_times import ReturnTimes
from snipebend.relay.upstream_selection import NoCapacity
from snipebend.relay.waiting_requests import WaitingRequests
from snipebend.routing.rates import DrainRate

if TYPE_CHECKING:
    from snipebend.relay.service_room import ServiceRoom
    from snipebend.relay.waiter import Waiter

#: Seconds that a request may wait although it will be late: callers give up
#: without an answer after 2 s.
LATE_WAIT_S = 1.0

#: Seconds for which requests leave room to more urgent ones that arrive at any
#: entry: until all know who waits and which places are taken.
NEWS_S = 0.1

#: Share of the bound that is left so at most, by punctual and by late
#: requests: one entry's rate says little of that of all while there are few.
MAX_RESERVE_SHARE = 0.1
MAX_LATE_RESERVE_SHARE = 0.2


class Keep(NamedTuple):
    """The request waits, until this time at the latest."""

    until: float


class Rates(NamedTuple):
    """What a judgement depends on besides the queue."""

    room: ServiceRoom
    #: Calls of this entry in progress.
    own_calls: int
    #: Seconds that a group needs to form after a loss.
    form_s: float = 0
    #: Whether the entry holds as many requests as it may.
    is_full: bool = False


class EntryAdmission:
    """The requests of one service at one entry."""

    def __init__(self) -> None:
        """Create without requests."""
        #: Entries that call the same upstreams, with this one.
        self.entries = 1
        self.waiting = WaitingRequests()
        self.others = OtherEntries()
        self.drain = DrainRate()
        self.outage = OutageEstimate()
        self._returns = ReturnTimes()
        self._rates = RequestRates()

    def ask(self, waiter: Waiter, now: float) -> None:
        """Add a request that asks for room."""
        self._rates.record(waiter.priority, now)
        if not waiter.has_returned:
            self.waiting.shares.record_asked(waiter.priority)
        self.waiting.push(waiter, now)

    def may_claim(
        self,
        room: ServiceRoom,
        now: float,
        sample: float,
        *,
        handed_on: bool = False,
    ) -> bool:
        """Return whether the next request of this entry may be called.

        Late requests use the room that punctual ones of all entries leave. It
        goes to the more urgent ones first, and is
        divided by what waits at each among equal ones; ``sample``, uniform over
        [0, 1), rounds the part. A place that a call of this entry has left is
        ``handed_on``: no other entry knows of it yet.
        """
        first = self.waiting.next(now)
        if first is None:
            return False
        free = room.free_places if handed_on else room.free
        left = free - self._count_reserved(first, room, now)
        if left < 1:
            return False
        if now > first.start_by:
            return True
        equal = self.others.count(first.priority)
        own = self.waiting.counts()[first.priority]
        return handed_on or left * own > sample * (own + equal)

    def start_next(self, now: float) -> Waiter | None:
        """Remove and return the request that goes next."""
        waiter = self.waiting.pop(now)
        if waiter is not None:
            self.waiting.shares.record_served(waiter.priority)
        return waiter

    def judge(
        self, waiter: Waiter, rates: Rates, now: float
    ) -> Keep | NoCapacity:
        """Return whether a request that was not called may wait.

        It waits only while it can be called in its time by the rate at which
        this entry's calls end, less what more urgent requests take of it.
        """
        if rates.is_full:
            return self._refuse(waiter, rates, now, 'too many requests wait')
        if rates.room.is_down:
            return self._judge_in_outage(waiter, rates, now)
        demand = self._demand()
        supply = self._supply(rates, now)
        until = waiter.start_by
        wait_s = expect_wait_s(waiter, demand, supply, now)
        if now + wait_s > until:
            until = _late_until(waiter)
            wait_s = expect_late_wait_s(demand, supply, now)
        if now + wait_s <= until:
            return Keep(until)
        if self._has_place(waiter, rates.room, now):
            # It only waits for its part of a place that is free.
            return Keep(now)
        return self._refuse(waiter, rates, now, 'all places are taken')

    def record_end(self, held_s: float, now: float) -> None:
        """Record a call that has ended."""
        self.drain.record_completion(held_s, now)

    def dump(self) -> dict[str, object]:
        """Return what waits here and at the other entries, by priority."""
        return {
            'waiting': self.waiting.counts(),
            'others_waiting': self.others.totals(),
            'served_shares': self.waiting.shares.dump(),
        }

    def _has_place(self, waiter: Waiter, room: ServiceRoom, now: float) -> bool:
        if now > waiter.latest_start:
            return False
        return room.free >= 1 + self._count_reserved(waiter, room, now)

    def _count_reserved(
        self, waiter: Waiter, room: ServiceRoom, now: float
    ) -> float:
        """Return the places that other requests need first.

        They wait elsewhere, or arrive until the news of this one's start are
        everywhere.
        """
        if now > waiter.start_by:
            waiting = self.others.total
            most = MAX_LATE_RESERVE_SHARE * room.bound
            arrivals_per_s = self._rates.total(now)
        elif self.waiting.shares.is_neglected(waiter.priority):
            return 0
        else:
            waiting = self.others.count_more_urgent(waiter.priority)
            most = MAX_RESERVE_SHARE * room.bound
            arrivals_per_s = self._rates.below(waiter.priority, now)
        arrivals = NEWS_S * self.entries * arrivals_per_s
        return waiting + min(arrivals, most)

    def _demand(self) -> Demand:
        return Demand(self.waiting, self.others, self._rates, self.entries)

    def _supply(self, rates: Rates, now: float) -> Supply:
        own_per_s = self.drain.requests_per_s(rates.own_calls, now)
        hold_s = self.drain.hold_s
        return Supply(own_per_s, rates.room.calls / hold_s if hold_s else 0)

    def _refuse(
        self, waiter: Waiter, rates: Rates, now: float, detail: str
    ) -> NoCapacity:
        supply = self._supply(rates, now)
        spare_per_s = find_spare_per_s(self._demand(), supply, now)
        retry_after_s = self._returns.refuse(
            now, waiter.deadline - now, spare_per_s
        )
        return NoCapacity(detail, retry_after_s)

    def _judge_in_outage(
        self, waiter: Waiter, rates: Rates, now: float
    ) -> Keep | NoCapacity:
        left_s = self.outage.left_s(now, rates.form_s)
        until = _late_until(waiter)
        if now + left_s <= until:
            return Keep(until)
        retry_after_s = self._returns.refuse_in_outage(
            left_s, waiter.deadline - now
        )
        return NoCapacity('the upstreams have stopped', retry_after_s)


def _late_until(waiter: Waiter) -> float:
    return min(waiter.asked_at + LATE_WAIT_S, waiter.latest_start)
