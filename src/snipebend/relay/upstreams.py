"""The upstreams of each service, as observed by one entry.

Performs no I/O.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from msgspec.structs import replace

from snipebend.relay.refusals import RefusalHistory
from snipebend.relay.upstream_groups import UpstreamGroup
from snipebend.state.roster import RosterPhase

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator, Mapping

    from snipebend.relay.refusals import RefusalReport
    from snipebend.state.host_updates import UpstreamGroupStatus
    from snipebend.state.roster import UpstreamRecord

#: Seconds for which a place that another entry has left is that entry's to
#: give: it knows of it first, and all others hear of it at once. Two datagrams
#: tell whether it has.
LEFT_PLACE_S = 0.05

#: Seconds for which an upstream gets no calls after a failure, doubled with
#: each consecutive one. The first is about a round trip and a retry; the last
#: is the time that a process takes to restart, so that its return is noticed.
INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0


@dataclass(slots=True)
class Upstream:
    """One incarnation of an upstream and its state at this entry."""

    record: UpstreamRecord
    #: Calls of this entry in progress.
    own_calls: int = 0
    #: Calls of the other entries in their latest reports, by entry.
    other_entries_calls: dict[str, int] = field(default_factory=dict)
    #: When another entry's calls were last reported to have become fewer.
    others_left_at: float = float('-inf')
    failures: int = 0
    paused_until: float = 0
    #: Whether another incarnation responds at its address.
    displaced: bool = False
    #: The group that it runs in lock-step with; None if it works alone.
    group: UpstreamGroup | None = None
    #: Whether it slows down its group.
    slow: bool = False
    #: Until then it wants no calls of this entry; monotonic seconds.
    backoff_until: float = 0
    #: Whether it stated in a response that it is shutting down.
    leaving: bool = False
    refusals: RefusalHistory = field(default_factory=RefusalHistory)

    @property
    def calls(self) -> int:
        """Return the known calls of all entries."""
        return self.own_calls + sum(self.other_entries_calls.values())

    def free_slots(self, now: float) -> int:
        """Return its slots that this entry may give to calls."""
        is_left = now < self.others_left_at + LEFT_PLACE_S
        return self.record.slots - self.calls - is_left

    @property
    def is_spared(self) -> bool:
        """Return whether its group is faster without requests to it."""
        return (
            self.slow
            and self.group is not None
            and self.group.spares_slow_ranks
        )

    @property
    def _is_available(self) -> bool:
        if self.displaced or self.leaving:
            return False
        return self.record.phase is RosterPhase.READY

    def is_same_life(self, born: int) -> bool:
        """Return whether a report with this start time may concern it."""
        return not born or not self.record.born or born == self.record.born

    def is_open(self, now: float) -> bool:
        """Return whether it may be given work."""
        return self._is_available and now >= max(
            self.paused_until, self.backoff_until
        )

    def is_backing_off(self, now: float) -> bool:
        """Return whether only a requested backoff prevents calls."""
        return self._is_available and now < self.backoff_until

    def declines_work(self, now: float) -> bool:
        """Return whether it has stated itself that it wants no work now."""
        return self.displaced or self.leaving or now < self.backoff_until

    def status(self, now: float) -> str:
        """Return a one-word status: why it may be given work or not."""
        if self.displaced:
            return 'displaced'
        if self.leaving:
            return 'leaving'
        if self.record.phase is not RosterPhase.READY:
            return self.record.phase.name.lower()
        if self.is_backing_off(now):
            return 'resting'
        if now < self.paused_until:
            return 'paused'
        return 'refusing' if self.refusals.is_avoided(now) else 'open'

    def backoff_left_s(self, now: float) -> float:
        """Return seconds for which it wants no calls of this entry."""
        return max(0, self.backoff_until - now)

    def record_backoff(self, until: float) -> None:
        """Record a requested backoff; a longer one stays in force."""
        self.backoff_until = max(self.backoff_until, until)

    def record_failure(self, now: float) -> None:
        """Pause calls, for longer after each consecutive failure."""
        pause_s = INITIAL_PAUSE_S * 2 ** min(self.failures, 8)
        self.failures += 1
        self.paused_until = now + min(MAX_PAUSE_S, pause_s)

    def record_response(self, call_started_at: float) -> None:
        """Clear failures after a response to a call begun at the given time."""
        self.failures = 0
        self.paused_until = 0
        self.refusals.record_response(call_started_at)


class UpstreamTable:
    """All upstreams by identity and by service."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._by_identity: dict[str, Upstream] = {}
        self._by_service: dict[str, dict[str, Upstream]] = {}
        self._groups: dict[str, UpstreamGroup] = {}
        #: The group of each rank; it may be reported before the rank's record.
        self._group_by_rank: dict[str, UpstreamGroup] = {}

    def __iter__(self) -> Iterator[Upstream]:
        """Iterate over all upstreams that have not ended."""
        return iter(tuple(self._by_identity.values()))

    def apply_records(
        self, records: Iterable[UpstreamRecord], now: float = 0
    ) -> list[Upstream]:
        """Apply roster records; return the upstreams that have ended.

        A later incarnation of a known identity starts without calls, failures
        and group, and refusals reported from before ``now`` don't concern it.
        """
        ended: list[Upstream] = []
        for record in records:
            known = self._by_identity.get(record.identity)
            begun_at = -math.inf
            if known is not None and 0 < known.record.born < record.born:
                ended.extend(self._drop(record.identity))
                known = None
                begun_at = now
            if record.phase is RosterPhase.ENDED:
                ended.extend(self._apply_end(known, record))
            elif known is None:
                self._add(record, begun_at)
            elif record.supersedes(known.record):
                known.record = record
        return ended

    def list_service(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service."""
        return tuple(self._by_service.get(service, {}).values())

    def find(self, identity: str) -> Upstream | None:
        """Return the upstream with this identity."""
        return self._by_identity.get(identity)

    def apply_group_statuses(
        self, statuses: Iterable[UpstreamGroupStatus]
    ) -> None:
        """Apply statuses from control; groups without one are unchanged."""
        for status in statuses:
            group = self._groups.setdefault(
                status.group, UpstreamGroup(status.group)
            )
            group.apply_status(status)
            for identity in status.members:
                self._group_by_rank[identity] = group
                upstream = self._by_identity.get(identity)
                if upstream is not None:
                    upstream.group = group
                    upstream.slow = identity in status.slow

    def apply_calls(
        self, entry: str, calls: dict[str, int], now: float = 0
    ) -> None:
        """Replace the calls that another entry has in progress."""
        for upstream in self._by_identity.values():
            count = calls.get(upstream.record.identity, 0)
            if count < upstream.other_entries_calls.get(entry, 0):
                upstream.others_left_at = now
            if count:
                upstream.other_entries_calls[entry] = count
            else:
                upstream.other_entries_calls.pop(entry, None)

    def report_refusals(self, now: float) -> dict[str, RefusalReport]:
        """Return the refusal reports for other entries, by identity."""
        return {
            identity: replace(report, born=upstream.record.born)
            for identity, upstream in self._by_identity.items()
            if (report := upstream.refusals.make_report(now)) is not None
        }

    def apply_refusals(
        self, reports: Mapping[str, RefusalReport], now: float
    ) -> list[Upstream]:
        """Apply another entry's reports; return newly avoided upstreams."""
        avoided: list[Upstream] = []
        for identity, report in reports.items():
            upstream = self._by_identity.get(identity)
            if upstream is None or not upstream.is_same_life(report.born):
                continue
            was_avoided = upstream.refusals.is_avoided(now)
            upstream.refusals.apply_report(report, now)
            if upstream.refusals.is_avoided(now) and not was_avoided:
                avoided.append(upstream)
        return avoided

    def count_statuses(
        self, now: float, evacuated: Collection[str] = ()
    ) -> dict[str, int]:
        """Return the number of upstreams by status.

        Those in ``evacuated`` data centres count as such, whatever their own.
        """
        counts = Counter(
            'evacuated'
            if one.record.data_center in evacuated
            else one.status(now)
            for one in self._by_identity.values()
        )
        return dict(counts)

    def dump(self) -> dict[str, object]:
        """Return the state of each upstream."""
        return {
            identity: {
                'service': upstream.record.service,
                'phase': upstream.record.phase.name,
                'own_calls': upstream.own_calls,
                'calls': upstream.calls,
                'failures': upstream.failures,
                'displaced': upstream.displaced,
                'group': upstream.group.name if upstream.group else '',
                'slow': upstream.slow,
                'rests_until': upstream.backoff_until,
                'leaving': upstream.leaving,
                'refusals': upstream.refusals.consecutive,
            }
            for identity, upstream in self._by_identity.items()
        }

    def _add(self, record: UpstreamRecord, begun_at: float) -> None:
        upstream = Upstream(record)
        upstream.refusals.begun_at = begun_at
        upstream.group = self._group_by_rank.get(record.identity)
        self._by_identity[record.identity] = upstream
        members = self._by_service.setdefault(record.service, {})
        members[record.identity] = upstream

    def _apply_end(
        self, known: Upstream | None, record: UpstreamRecord
    ) -> list[Upstream]:
        if known is None or not record.supersedes(known.record):
            return []
        return self._drop(record.identity)

    def _drop(self, identity: str) -> list[Upstream]:
        self._group_by_rank.pop(identity, None)
        ended = self._by_identity.pop(identity, None)
        if ended is None:
            return []
        self._by_service[ended.record.service].pop(identity)
        ended.displaced = True
        return [ended]
