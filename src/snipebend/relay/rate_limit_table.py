"""The rate limits of all upstreams at one entry, and their reports.

Performs no I/O.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from msgspec import Struct

from snipebend.relay.rate_limit import CallCount, LimitNotice, RateLimit

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.relay.facts import ResponseFacts

#: For how long an entry reports that a limit was lifted: several repeats, since
#: any datagram may be lost.
REPORT_LIFTED_S = 5.0

#: Seconds for which the end of an upstream is kept: until all entries know of
#: it, and report its limit no more.
ENDED_RETENTION_S = 60.0


class LimitReport(Struct, frozen=True, array_like=True):
    """An entry's report to the others about one upstream's limit."""

    #: Calls begun since this entry has tracked the limit.
    calls: int
    #: Seconds since this entry's last response from the upstream, if any.
    age_s: float | None = None
    #: The limit in that response; None if there was none.
    per_s: float | None = None
    #: Start time of the upstream's incarnation; 0 from earlier versions.
    born: int = 0


class LimitChange(NamedTuple):
    """A limit that was announced, changed or lifted."""

    upstream: str
    #: None if the limit was lifted.
    per_s: float | None
    #: The entry that received the notice; empty for this one.
    entry: str


class RateLimitTable:
    """The token buckets of upstreams that have announced a limit."""

    def __init__(self) -> None:
        """Create an empty table; unlisted upstreams are not limited."""
        #: Share of entries whose messages are received here, this one included.
        self.share = 1.0
        self._limits: dict[str, RateLimit] = {}
        #: The latest notice of each upstream, whichever entry received it.
        self._notices: dict[str, LimitNotice] = {}
        #: Notices that this entry received itself.
        self._own_notices: dict[str, LimitNotice] = {}
        #: When an incarnation of each upstream ended, in order.
        self._ended_at: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Return whether any limit is in force."""
        return bool(self._limits)

    def record_response(
        self,
        upstream: str,
        facts: ResponseFacts,
        call_started_at: float,
        now: float,
    ) -> LimitChange | None:
        """Apply what a response states about its upstream's limit.

        A response lifts the limit only if it is authenticated and its call
        began after the limit was announced: any other response may have been
        written earlier.
        """
        announced = facts.limit
        if facts.identity_mismatch:
            return None
        if announced is not None:
            # An unreadable limit leaves the previous one in force.
            if announced.per_s is None:
                return None
            return self._apply_notice(
                upstream, LimitNotice(announced.per_s, now), '', now
            )
        notice = self._notices.get(upstream)
        if notice is None or notice.per_s is None or not facts.authenticated:
            return None
        if call_started_at <= notice.received_at:
            return None
        return self._apply_notice(upstream, LimitNotice(None, now), '', now)

    def apply_report(
        self,
        entry: str,
        started_at: float,
        reports: Mapping[str, LimitReport],
        now: float,
    ) -> list[LimitChange]:
        """Apply another entry's notices and call counts."""
        changes: list[LimitChange] = []
        for upstream, reported in reports.items():
            known_from = -math.inf
            if not reported.born:
                known_from = self._ended_at.get(upstream, -math.inf)
            if reported.age_s is not None and now - reported.age_s > known_from:
                notice = LimitNotice(reported.per_s, now - reported.age_s)
                change = self._apply_notice(upstream, notice, entry, now)
                if change is not None:
                    changes.append(change)
            rate_limit = self._limits.get(upstream)
            if rate_limit is not None:
                rate_limit.refill(now, self.share)
                rate_limit.apply_call_count(
                    entry, CallCount(started_at, reported.calls)
                )
        return changes

    def make_report(self, now: float) -> dict[str, LimitReport]:
        """Return the reports for the other entries, by upstream."""
        reports: dict[str, LimitReport] = {}
        for upstream, rate_limit in self._limits.items():
            reports[upstream] = LimitReport(rate_limit.own_calls)
        for upstream, notice in tuple(self._own_notices.items()):
            age_s = now - notice.received_at
            if notice.per_s is None and age_s > REPORT_LIFTED_S:
                self._own_notices.pop(upstream)
                continue
            calls = reports[upstream].calls if upstream in reports else 0
            reports[upstream] = LimitReport(calls, age_s, notice.per_s)
        return reports

    def has_room(self, upstream: str, now: float) -> bool:
        """Return whether an upstream's limit allows a call now."""
        rate_limit = self._limits.get(upstream)
        if rate_limit is None:
            return True
        rate_limit.refill(now, self.share)
        return rate_limit.has_room()

    def seconds_until_room(self, upstream: str, now: float) -> float:
        """Return seconds until an upstream's limit allows a call; 0: now."""
        if self.has_room(upstream, now):
            return 0
        return self._limits[upstream].seconds_until_room(self.share)

    def record_call(self, upstream: str, now: float) -> None:
        """Deduct a call of this entry from the upstream's limit."""
        rate_limit = self._limits.get(upstream)
        if rate_limit is not None:
            rate_limit.refill(now, self.share)
            rate_limit.record_call()

    def remove(self, upstream: str, now: float) -> None:
        """Remove an upstream that no longer exists.

        Notices from before ``now`` don't concern a later incarnation of it.
        """
        self._ended_at.pop(upstream, None)
        self._ended_at[upstream] = now
        while now - next(iter(self._ended_at.values())) > ENDED_RETENTION_S:
            self._ended_at.pop(next(iter(self._ended_at)))
        self._limits.pop(upstream, None)
        self._notices.pop(upstream, None)
        self._own_notices.pop(upstream, None)

    def dump(self) -> dict[str, object]:
        """Return each limit in force and its balance."""
        return {
            upstream: {
                'per_s': rate_limit.per_s,
                'balance': round(rate_limit.account.balance, 2),
                'own_calls': rate_limit.own_calls,
            }
            for upstream, rate_limit in self._limits.items()
        }

    def _apply_notice(
        self, upstream: str, notice: LimitNotice, entry: str, now: float
    ) -> LimitChange | None:
        """Apply a notice unless a later one is known."""
        if not entry:
            self._own_notices[upstream] = notice
        previous = self._notices.get(upstream)
        if previous is not None and previous.received_at > notice.received_at:
            return None
        self._notices[upstream] = notice
        known_per_s = None if previous is None else previous.per_s
        if notice.per_s is None:
            self._limits.pop(upstream, None)
        else:
            self._set_limit(upstream, notice, now)
        if known_per_s == notice.per_s:
            return None
        return LimitChange(upstream, notice.per_s, entry)

    def _set_limit(
        self, upstream: str, notice: LimitNotice, now: float
    ) -> None:
        rate_limit = self._limits.get(upstream)
        if rate_limit is None:
            self._limits[upstream] = RateLimit.announced(notice, now)
            return
        rate_limit.refill(now, self.share)
        rate_limit.notice = notice
