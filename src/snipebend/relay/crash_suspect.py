"""What is known of one request or prompt part under which upstreams ended.

Performs no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from snipebend.relay.crash_report import CrashReport

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from snipebend.relay.crash_moments import KnownEnds
    from snipebend.relay.crash_report import UpstreamEnd

#: Most ends that are kept of one suspect; the oldest is dropped first.
MAX_ENDS = 16

#: Seconds within which upstreams that fail together are noticed.
SEPARATION_S = 0.3

#: Different requests under which upstreams must have ended before the part that
#: they share is the cause, rather than one of the requests.
MIN_REQUESTS = 2


@dataclass(slots=True)
class CrashSuspect:
    """A request or a prompt part; times are monotonic seconds."""

    #: By incarnation of the upstream.
    ends: dict[str, UpstreamEnd] = field(default_factory=dict)
    #: Fingerprints of requests under which upstreams ended, a few of them.
    requests: set[str] = field(default_factory=set)
    #: Until when an upstream has outlived a response that it had begun.
    survived_at: float = -math.inf
    #: When a response in progress was last received, from an upstream that may
    #: still end under it.
    active_at: float = -math.inf
    #: When a request last ran despite the quarantine.
    trial_at: float = -math.inf
    #: Such requests under which an upstream ended.
    failed_trials: int = 0
    #: When the last upstream ended.
    last_ended_at: float = -math.inf
    #: The same as observed by this entry. Only these are reported: a time that
    #: is passed on grows by the delay of each message.
    own_survived_at: float = -math.inf
    own_active_at: float = -math.inf
    own_trial_at: float = -math.inf

    @property
    def has_survivals(self) -> bool:
        """Return whether an upstream has ever outlived a response."""
        return self.survived_at > -math.inf

    @property
    def is_cleared(self) -> bool:
        """Return whether an upstream has outlived a response since."""
        return self.survived_at >= self.last_ended_at

    @property
    def is_active(self) -> bool:
        """Return whether responses are in progress since the last end."""
        return self.active_at > self.last_ended_at

    def record_end(
        self, incarnation: str, end: UpstreamEnd, requests: Iterable[str]
    ) -> bool:
        """Record an end; return whether anything is new.

        Of several calls on the same upstream, the one that began last counts.
        """
        known = self.ends.get(incarnation)
        grew = self._add_requests(requests)
        if known is not None:
            self.ends[incarnation] = known._replace(
                began_at=max(known.began_at, end.began_at),
                responding=known.responding or end.responding,
            )
            return grew
        self._add_end(incarnation, end)
        return True

    def apply_report(self, report: CrashReport, now: float) -> bool:
        """Apply another entry's report; return whether anything is new."""
        grew = self._add_requests(report.requests)
        for incarnation, end in report.ends(now):
            # The first known times stay: those of a repeated report are late.
            if incarnation not in self.ends:
                self._add_end(incarnation, end)
                grew = True
        if report.survived_age_s is not None:
            grew |= self._survive(now - report.survived_age_s)
        if report.active_age_s is not None:
            was_active = self.is_active
            self.active_at = max(self.active_at, now - report.active_age_s)
            grew |= self.is_active != was_active
        if report.trial_age_s is not None:
            self.trial_at = max(self.trial_at, now - report.trial_age_s)
        return grew

    def record_survival(self, survived_at: float) -> bool:
        """Record a response that an upstream outlived; return if it clears."""
        self.own_survived_at = max(self.own_survived_at, survived_at)
        return self._survive(survived_at)

    def record_activity(self, now: float) -> bool:
        """Record a response in progress; return if it is news to others."""
        was_active = self.is_active
        self.active_at = now
        self.own_active_at = now
        return not was_active

    def record_trial(self, now: float) -> None:
        """Record a request that runs despite the quarantine."""
        self.trial_at = now
        self.own_trial_at = now

    def make_report(self, now: float) -> CrashReport:
        """Return the report for other entries."""
        ordered = sorted(self.ends.items(), key=lambda pair: pair[1].ended_at)
        return CrashReport(
            tuple(incarnation for incarnation, _ in ordered),
            now - self.last_ended_at,
            tuple(now - end.ended_at for _, end in ordered),
            tuple(now - end.began_at for _, end in ordered),
            tuple(end.responding for _, end in ordered),
            tuple(sorted(self.requests)),
            _age_s(self.own_survived_at, now),
            _age_s(self.own_active_at, now),
            _age_s(self.own_trial_at, now),
        )

    def list_ends(self, explained: Container[str]) -> list[UpstreamEnd]:
        """Return the ends since the last survival, in their order.

        Those in ``explained``, by incarnation, have another cause.
        """
        found = [
            end
            for incarnation, end in self.ends.items()
            if incarnation not in explained and end.ended_at > self.survived_at
        ]
        return sorted(found, key=lambda end: end.ended_at)

    def count_separate_ends(
        self, explained: Container[str], known: KnownEnds
    ) -> int:
        """Return how many of these ends are not of one common failure.

        Upstreams that fail together count once, whatever they run. The call
        under which another one ends begins or ends clearly after them. What was
        never served counts each time that it ends an upstream before the first
        response, unless most of the upstreams that end in that moment don't run
        it.
        """
        count = 0
        last_ended_at = -math.inf
        ends = self.list_ends(explained)
        for end in ends:
            separate_at = last_ended_at + SEPARATION_S
            if (
                end.began_at >= last_ended_at
                or end.ended_at >= separate_at
                or not (
                    end.responding
                    or self.has_survivals
                    or known.is_common_failure(end, ends)
                )
            ):
                count += 1
                last_ended_at = end.ended_at
        return count

    def _add_end(self, incarnation: str, end: UpstreamEnd) -> None:
        self.ends[incarnation] = end
        if self.last_ended_at < self.trial_at <= end.ended_at:
            self.failed_trials += 1
        self.last_ended_at = max(self.last_ended_at, end.ended_at)
        if len(self.ends) > MAX_ENDS:
            oldest = min(self.ends, key=lambda name: self.ends[name].ended_at)
            self.ends.pop(oldest)

    def _add_requests(self, requests: Iterable[str]) -> bool:
        known = len(self.requests)
        for fingerprint in requests:
            if len(self.requests) < MIN_REQUESTS:
                self.requests.add(fingerprint)
        return len(self.requests) > known

    def _survive(self, survived_at: float) -> bool:
        if survived_at <= self.survived_at:
            return False
        was_cleared = self.is_cleared
        self.survived_at = survived_at
        if was_cleared or not self.is_cleared:
            return False
        self.failed_trials = 0
        return True


def _age_s(happened_at: float, now: float) -> float | None:
    return None if happened_at == -math.inf else now - happened_at
