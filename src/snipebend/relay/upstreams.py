"""The upstreams of each service as one entry sees them (pure)."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from snipebend.relay.refusals import Refusals
from snipebend.relay.upstream_groups import UpstreamGroup
from snipebend.state.roster import RosterPhase

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from snipebend.relay.refusals import RefusalsTold
    from snipebend.state.host_updates import UpstreamGroupStatus
    from snipebend.state.roster import UpstreamRecord

#: Seconds that an upstream is left alone after a failure, doubled with each
#: further one in a row. The first is about a round trip and a retry; the last
#: is the time in which a process restarts, so that its return is noticed.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0


@dataclass(slots=True)
class Upstream:
    """One life of an upstream, and what this entry has seen of it."""

    record: UpstreamRecord
    #: Calls of this entry that are under way.
    own_calls: int = 0
    #: Calls of the other entries, as they last told, by entry.
    others_calls: dict[str, int] = field(default_factory=dict)
    failures: int = 0
    paused_until: float = 0
    #: Another life answers at its address.
    displaced: bool = False
    #: The group that it works in lock-step with; none: it works alone.
    group: UpstreamGroup | None = None
    #: It holds its group back.
    slow: bool = False
    #: Until then it wants nothing from this entry; monotonic seconds.
    rests_until: float = 0
    #: It said in an answer that it is leaving.
    leaving: bool = False
    refusals: Refusals = field(default_factory=Refusals)

    @property
    def calls(self) -> int:
        """Return the calls of all entries, as far as known."""
        return self.own_calls + sum(self.others_calls.values())

    @property
    def _may_serve(self) -> bool:
        if self.displaced or self.leaving:
            return False
        return self.record.phase is RosterPhase.READY

    def is_open(self, now: float) -> bool:
        """Tell whether it may be given work."""
        return self._may_serve and now >= max(
            self.paused_until, self.rests_until
        )

    def is_resting(self, now: float) -> bool:
        """Tell whether only the rest that it asked for keeps work away."""
        return self._may_serve and now < self.rests_until

    def declines(self, now: float) -> bool:
        """Tell whether it has said itself that it wants no work now."""
        return self.displaced or self.leaving or now < self.rests_until

    def standing(self, now: float) -> str:
        """Return in a word whether it may be given work, or why not."""
        if self.displaced:
            return 'displaced'
        if self.leaving:
            return 'leaving'
        if self.record.phase is not RosterPhase.READY:
            return self.record.phase.name.lower()
        if self.is_resting(now):
            return 'resting'
        if now < self.paused_until:
            return 'paused'
        return 'refusing' if self.refusals.is_avoided(now) else 'open'

    def rest_left_s(self, now: float) -> float:
        """Return seconds for which it wants nothing from this entry."""
        return max(0, self.rests_until - now)

    def note_rest(self, until: float) -> None:
        """Take note of a rest; a longer one that it asked for stays."""
        self.rests_until = max(self.rests_until, until)

    def note_failure(self, now: float) -> None:
        """Leave it alone for a while."""
        pause_s = FIRST_PAUSE_S * 2 ** min(self.failures, 8)
        self.failures += 1
        self.paused_until = now + min(LONGEST_PAUSE_S, pause_s)

    def note_answer(self, begun_at: float) -> None:
        """Trust it again: it has answered a call that began then."""
        self.failures = 0
        self.paused_until = 0
        self.refusals.note_answer(begun_at)


class UpstreamTable:
    """All upstreams by identity and by service."""

    def __init__(self) -> None:
        """Start without upstreams."""
        self._known: dict[str, Upstream] = {}
        self._services: dict[str, dict[str, Upstream]] = {}
        self._groups: dict[str, UpstreamGroup] = {}
        #: The group of each rank; a rank may be told of before its record.
        self._group_of: dict[str, UpstreamGroup] = {}

    def __iter__(self) -> Iterator[Upstream]:
        """Iterate over all that haven't ended."""
        return iter(tuple(self._known.values()))

    def take(self, records: Iterable[UpstreamRecord]) -> list[Upstream]:
        """Take over records; return the upstreams whose lives have ended.

        A later life under a known identity begins with no calls, no failures
        and no place in a group.
        """
        ended: list[Upstream] = []
        for record in records:
            known = self._known.get(record.identity)
            if known is not None and 0 < known.record.born < record.born:
                ended.extend(self._drop(record.identity))
                known = None
            if record.phase is RosterPhase.ENDED:
                ended.extend(self._end(known, record))
            elif known is None:
                self._add(record)
            elif record.supersedes(known.record):
                known.record = record
        return ended

    def of_service(self, service: str) -> tuple[Upstream, ...]:
        """Return a service's upstreams."""
        return tuple(self._services.get(service, {}).values())

    def find(self, identity: str) -> Upstream | None:
        """Return the upstream of that identity."""
        return self._known.get(identity)

    def take_groups(self, told: Iterable[UpstreamGroupStatus]) -> None:
        """Take over what control tells of groups; what it doesn't stays."""
        for standing in told:
            group = self._groups.setdefault(
                standing.group, UpstreamGroup(standing.group)
            )
            group.take(standing)
            for identity in standing.members:
                self._group_of[identity] = group
                upstream = self._known.get(identity)
                if upstream is not None:
                    upstream.group = group
                    upstream.slow = identity in standing.slow

    def take_calls(self, entry: str, calls: dict[str, int]) -> None:
        """Take over what another entry has under way."""
        for upstream in self._known.values():
            count = calls.get(upstream.record.identity, 0)
            if count:
                upstream.others_calls[entry] = count
            else:
                upstream.others_calls.pop(entry, None)

    def tell_refusals(self, now: float) -> dict[str, RefusalsTold]:
        """Return what to tell of refusals, by the upstream's identity."""
        return {
            identity: told
            for identity, upstream in self._known.items()
            if (told := upstream.refusals.tell(now)) is not None
        }

    def take_refusals(
        self, told: Mapping[str, RefusalsTold], now: float
    ) -> list[Upstream]:
        """Take over what another entry heard; return those avoided by it."""
        avoided: list[Upstream] = []
        for identity, one in told.items():
            upstream = self._known.get(identity)
            if upstream is None:
                continue
            before = upstream.refusals.is_avoided(now)
            upstream.refusals.take_told(one, now)
            if upstream.refusals.is_avoided(now) and not before:
                avoided.append(upstream)
        return avoided

    def standings(self, now: float) -> dict[str, int]:
        """Return how many upstreams may be given work, and why others not."""
        found = Counter(one.standing(now) for one in self._known.values())
        return dict(found)

    def dump(self) -> dict[str, object]:
        """Return each upstream's standing."""
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
                'rests_until': upstream.rests_until,
                'leaving': upstream.leaving,
                'refusals': upstream.refusals.number,
            }
            for identity, upstream in self._known.items()
        }

    def _add(self, record: UpstreamRecord) -> None:
        upstream = Upstream(record)
        upstream.group = self._group_of.get(record.identity)
        self._known[record.identity] = upstream
        members = self._services.setdefault(record.service, {})
        members[record.identity] = upstream

    def _end(
        self, known: Upstream | None, record: UpstreamRecord
    ) -> list[Upstream]:
        if known is None or not record.supersedes(known.record):
            return []
        return self._drop(record.identity)

    def _drop(self, identity: str) -> list[Upstream]:
        self._group_of.pop(identity, None)
        gone = self._known.pop(identity, None)
        if gone is None:
            return []
        self._services[gone.record.service].pop(identity)
        gone.displaced = True
        return [gone]
