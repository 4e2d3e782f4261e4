"""Gives requests to upstreams as these have room, and holds the others.

Each request asks the desk for an upstream. It gets one at once, waits for one,
or is refused; a call that ends lets the next request go.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

from snipebend.edge.admission_log import record_decision
from snipebend.relay.entry_admission import (
    EntryAdmission,
    Keep,
    Rates,
)
from snipebend.relay.service_room import ServiceRoom, measure_room
from snipebend.relay.upstream_selection import NoCapacity
from snipebend.relay.upstreams import LEFT_PLACE_S
from snipebend.relay.waiter_times import ServiceTimes, make_waiter

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from snipebend.edge.relay_meters import RelayMeters
    from snipebend.edge.upstream_chooser import UpstreamChooser
    from snipebend.hosts.lookup import HostIndex
    from snipebend.hosts.model import EngineProfile
    from snipebend.relay.admission import Admitted
    from snipebend.relay.upstreams import Upstream
    from snipebend.relay.waiter import Waiter
    from snipebend.settings.relay import AdmissionSection

#: Seconds between two looks at the waiting requests: other entries' news
#: arrive that often.
TICK_S = 0.025

#: Seconds between two calls that probe a group known to have stopped.
PROBE_INTERVAL_S = 0.5


#: Share of free places below which entries choose among some upstreams each:
#: they all know of the same places, and would meet at them.
TIGHT_SHARE = 0.4
SAMPLE_SHARE = 0.25


class Inquiry(NamedTuple):
    """A request that asks for an upstream."""

    admitted: Admitted
    #: Identities of the upstreams that were called before.
    tried: Sequence[str]
    body_bytes: int
    #: Whether its caller has events of its stream already.
    has_events: bool


class Pending(NamedTuple):
    """A request without an upstream yet."""

    inquiry: Inquiry
    waiter: Waiter
    #: Set to its upstream, to its refusal, or to None: no upstream is open.
    outcome: asyncio.Future[Upstream | NoCapacity | None]


@dataclass(slots=True)
class _Counter:
    """The requests of one service."""

    service: str
    admission: EntryAdmission = field(default_factory=EntryAdmission)
    times: ServiceTimes = field(default_factory=ServiceTimes)
    pending: dict[int, Pending] = field(default_factory=dict)
    #: Until when each of them waits.
    until: dict[int, float] = field(default_factory=dict)
    own_calls: int = 0
    #: Upstreams that calls of this entry have left, and when.
    left: deque[tuple[float, Upstream]] = field(default_factory=deque)
    ticks: asyncio.TimerHandle | None = None
    probed_at: float = float('-inf')


class AdmissionDesk:
    """The requests of all services at one entry."""

    def __init__(
        self,
        cfg: AdmissionSection,
        chooser: UpstreamChooser,
        index: Callable[[], HostIndex | None],
        count_entries: Callable[[], int],
        now: Callable[[], float],
        rng: Random,
        meters: RelayMeters,
    ) -> None:
        """Keep the settings and the parts that decide."""
        self._cfg = cfg
        self._chooser = chooser
        self._index = index
        self._count_entries = count_entries
        self._now = now
        self._rng = rng
        self._meters = meters
        self._numbers = count()
        self._bytes = 0
        self._counters: dict[str, _Counter] = {}

    async def acquire(self, inquiry: Inquiry) -> Upstream | NoCapacity | None:
        """Return an upstream, a refusal, or None: no upstream is open.

        The caller counts its call as begun before it awaits anything.
        """
        counter = self._counter(inquiry.admitted.service)
        pending = self._enter(counter, inquiry)
        try:
            self._dispatch(counter)
            self._review(counter, pending)
            outcome = await asyncio.shield(pending.outcome)
        except asyncio.CancelledError:
            if pending.outcome.done():
                _release(pending.outcome.result())
                self._dispatch(counter)
            raise
        finally:
            self._leave(counter, pending)
        _release(outcome)
        return outcome

    def record_first_event(self, admitted: Admitted, seconds: float) -> None:
        """Record the time from a call to its first event."""
        self._counter(admitted.service).times.record_first_event(seconds)

    def begin_call(self, admitted: Admitted) -> None:
        """Record a call that begins."""
        self._counter(admitted.service).own_calls += 1

    def end_call(
        self,
        admitted: Admitted,
        upstream: Upstream,
        held_s: float,
        *,
        is_answered: bool = True,
    ) -> None:
        """Record a call that has ended, and hand on its place.

        The place of a call without an answer isn't handed on: its upstream may
        have failed, which the request records once this has returned.
        """
        counter = self._counter(admitted.service)
        counter.own_calls -= 1
        if is_answered:
            counter.times.record_hold(held_s)
            counter.admission.record_end(held_s, self._now())
            counter.left.append((self._now(), upstream))
        asyncio.get_running_loop().call_soon(self._dispatch, counter)

    def waiting(self) -> dict[str, dict[int, int]]:
        """Return punctual requests here by service and priority."""
        now = self._now()
        return {
            counter.service: counts
            for counter in self._counters.values()
            if (counts := counter.admission.waiting.punctual_counts(now))
        }

    def apply_waiting(
        self, entry: str, waiting: dict[str, dict[int, int]]
    ) -> None:
        """Apply another entry's report of the requests that wait there."""
        for service in waiting.keys() | self._counters.keys():
            counter = self._counter(service)
            counter.admission.others.apply(entry, waiting.get(service, {}))

    def dump(self) -> dict[str, object]:
        """Return each service's queue."""
        return {
            counter.service: counter.admission.dump()
            | counter.times.dump()
            | {'own_calls': counter.own_calls}
            for counter in self._counters.values()
        }

    def _counter(self, service: str) -> _Counter:
        return self._counters.setdefault(service, _Counter(service))

    def _enter(self, counter: _Counter, inquiry: Inquiry) -> Pending:
        now = self._now()
        waiter = make_waiter(
            inquiry.admitted,
            next(self._numbers),
            counter.times,
            now,
            is_continued=bool(inquiry.tried),
            has_events=inquiry.has_events,
        )
        outcome = asyncio.get_running_loop().create_future()
        pending = Pending(inquiry, waiter, outcome)
        counter.pending[waiter.number] = pending
        counter.admission.ask(waiter, now)
        self._bytes += inquiry.body_bytes
        return pending

    def _leave(self, counter: _Counter, pending: Pending) -> None:
        """Forget a request that waits no longer."""
        self._bytes -= pending.inquiry.body_bytes
        number = pending.waiter.number
        counter.admission.waiting.remove(number)
        counter.pending.pop(number, None)
        counter.until.pop(number, None)

    def _dispatch(self, counter: _Counter) -> None:
        """Give upstreams to waiting requests while there is room."""
        admission = counter.admission
        while True:
            now = self._now()
            first = admission.waiting.next(now)
            if first is None:
                return
            pending = counter.pending[first.number]
            room = self._measure(counter, pending)
            is_probe = self._may_probe(counter, room)
            left = self._find_left(counter, pending)
            if not is_probe and not admission.may_claim(
                room, now, self._rng.random(), handed_on=left is not None
            ):
                return
            upstream = left or self._select(pending, room)
            if upstream is None:
                # It waits on, for no longer than without this place.
                return
            if left is not None:
                counter.left.popleft()
            if is_probe:
                counter.probed_at = now
            admission.start_next(now)
            self._settle(counter, pending, upstream)

    def _may_probe(self, counter: _Counter, room: ServiceRoom) -> bool:
        due_at = counter.probed_at + PROBE_INTERVAL_S
        return room.is_down and self._now() >= due_at

    def _find_left(
        self, counter: _Counter, pending: Pending
    ) -> Upstream | None:
        """Return an upstream that a call of this entry has just left.

        Other entries leave its place to this one for a while.
        """
        admitted, tried, *_ = pending.inquiry
        oldest = self._now() - LEFT_PLACE_S
        while counter.left:
            left_at, upstream = counter.left[0]
            if left_at >= oldest and self._chooser.can_hand_on(
                upstream, admitted, tried
            ):
                return upstream
            counter.left.popleft()
        return None

    def _select(self, pending: Pending, room: ServiceRoom) -> Upstream | None:
        admitted, tried, *_ = pending.inquiry
        is_tight = room.free < TIGHT_SHARE * room.bound
        return self._chooser.select(
            admitted,
            tried,
            needs_slot=True,
            sample_share=SAMPLE_SHARE if is_tight else 0,
        )

    def _review(self, counter: _Counter, pending: Pending) -> None:
        """Let a request wait, or refuse it."""
        if pending.outcome.done():
            return
        now = self._now()
        room = self._measure(counter, pending)
        if not room.bound and not room.is_down:
            self._settle(counter, pending, None)
            return
        verdict = self._judge(counter, pending, room)
        if isinstance(verdict, Keep):
            counter.until[pending.waiter.number] = verdict.until
            if counter.ticks is None:
                self._schedule_tick(counter)
            return
        record_decision(self._meters, pending, room, verdict, now)
        counter.admission.waiting.remove(pending.waiter.number)
        pending.outcome.set_result(verdict)

    def _judge(
        self, counter: _Counter, pending: Pending, room: ServiceRoom
    ) -> Keep | NoCapacity:
        engine = self._engine(counter.service)
        is_full = (
            len(counter.pending) > self._cfg.max_waiting
            or self._bytes > self._cfg.max_waiting_bytes
        )
        rates = Rates(
            room, counter.own_calls, engine.form_s if engine else 0, is_full
        )
        return counter.admission.judge(pending.waiter, rates, self._now())

    def _settle(
        self, counter: _Counter, pending: Pending, upstream: Upstream | None
    ) -> None:
        """Give a request its upstream, counted until the request goes on."""
        counter.admission.waiting.remove(pending.waiter.number)
        pending.outcome.set_result(upstream)
        if upstream is None:
            return
        upstream.own_calls += 1
        self._chooser.record_call(upstream)
        if pending.waiter.number in counter.until:
            room = self._measure(counter, pending)
            record_decision(self._meters, pending, room, upstream, self._now())

    def _measure(self, counter: _Counter, pending: Pending) -> ServiceRoom:
        now = self._now()
        admitted, tried, *_ = pending.inquiry
        room = measure_room(
            self._chooser.list_candidates(admitted, tried),
            admitted.route.gap_s,
            self._engine(counter.service),
            now,
            self._chooser.is_within_limits,
        )
        counter.admission.outage.record(now, is_down=room.is_down)
        counter.admission.entries = self._count_entries()
        return room

    def _engine(self, service: str) -> EngineProfile | None:
        index = self._index()
        if index is None or service not in index.services:
            return None
        return index.services[service].engine

    def _schedule_tick(self, counter: _Counter) -> None:
        loop = asyncio.get_running_loop()
        counter.ticks = loop.call_later(TICK_S, self._tick, counter)

    def _tick(self, counter: _Counter) -> None:
        """Use the room that others' news show, and end waits in vain."""
        counter.ticks = None
        try:
            self._dispatch(counter)
            self._end_waits(counter)
        finally:
            if counter.admission.waiting and counter.ticks is None:
                self._schedule_tick(counter)

    def _end_waits(self, counter: _Counter) -> None:
        """Judge again whose time is over, or whose upstreams have closed."""
        now = self._now()
        waiting = [
            pending
            for number in tuple(counter.until)
            if (pending := counter.pending.get(number)) is not None
            and not pending.outcome.done()
        ]
        is_closed = waiting and not self._measure(counter, waiting[0]).bound
        for pending in waiting:
            if is_closed or now >= counter.until[pending.waiter.number]:
                self._review(counter, pending)


def _release(outcome: Upstream | NoCapacity | None) -> None:
    """End the count of a granted upstream."""
    if outcome is not None and not isinstance(outcome, NoCapacity):
        outcome.own_calls -= 1
