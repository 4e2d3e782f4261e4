"""Finds the requests and prompt parts that end upstreams, across all entries.

Performs no I/O.

A request that ends the upstreams that run it is sent again by its caller, to
any entry. A part of prompts that does so comes in requests that are otherwise
unlike each other. Whatever ran on an upstream that ended is a suspect: its
request, and each part of its prompt that other requests may have. Sound
suspects are told from the cause by three things: upstreams outlive the
responses to other requests that have them, the cause explains the ends under
which they happened to run, and upstreams that fail together count once.

Entries report their suspects to each other; a report lists the incarnations
that ended, so that two entries never count the same end twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.relay.crash_causes import find_causes, find_refuted
from snipebend.relay.crash_store import CrashStore
from snipebend.relay.crash_trials import may_try

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from snipebend.relay.causes import RequestCauses
    from snipebend.relay.crash_report import CrashReport, UpstreamEnd


class Quarantine(NamedTuple):
    """Why a request is refused."""

    #: Of the suspect that is quarantined.
    key: str
    #: Seconds until its end.
    left_s: float


class CrashTable:
    """The suspects, and which of them are quarantined."""

    def __init__(
        self, crash_limit: int, quarantine_s: float, trial_delay_s: float = 0
    ) -> None:
        """Create an empty table.

        A suspect is quarantined for ``quarantine_s`` seconds once
        ``crash_limit`` upstreams have ended under it. ``trial_delay_s`` should
        differ between entries, so that they don't try a part together.
        """
        self._crash_limit = crash_limit
        self._trial_delay_s = trial_delay_s
        self._store = CrashStore(crash_limit, quarantine_s)
        #: The keys of the quarantined suspects.
        self.quarantined: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._store.suspects)

    @property
    def has_news(self) -> bool:
        """Return whether suspects have changed that were not reported."""
        return self._store.has_news

    def record_end(
        self, causes: RequestCauses, incarnation: str, end: UpstreamEnd
    ) -> frozenset[str]:
        """Record an end; return the newly quarantined suspects."""
        self._store.remove_expired(end.ended_at)
        changed = [
            key
            for key in causes.keys
            if self._store.find_or_add(key).record_end(
                incarnation, end, (causes.fingerprint,)
            )
        ]
        self._store.mark_changed(changed)
        return self._decide()

    def record_survival(
        self, causes: RequestCauses, survived_at: float
    ) -> frozenset[str]:
        """Record that an upstream outlived a response that it had begun.

        Return the newly quarantined suspects: what a suspect explained until it
        was cleared counts against the others again.
        """
        self.record_served(causes.part_keys, survived_at)
        suspects = self._store.find(causes.keys)
        cleared = [
            key
            for key, suspect in suspects.items()
            if suspect.record_survival(survived_at)
        ]
        self._store.mark_changed(cleared)
        return self._decide() if cleared else frozenset()

    def record_served(self, part_keys: Iterable[str], served_at: float) -> None:
        """Record that a request with these parts was served."""
        self._store.record_served(part_keys, served_at)

    def record_activity(
        self, causes: RequestCauses, now: float
    ) -> frozenset[str]:
        """Record a response in progress; return newly quarantined suspects."""
        suspects = self._store.find(causes.keys)
        active = [
            key
            for key, suspect in suspects.items()
            if suspect.record_activity(now)
        ]
        self._store.mark_changed(active)
        return self._decide() if active else frozenset()

    def apply_report(
        self, reports: Mapping[str, CrashReport], now: float
    ) -> frozenset[str]:
        """Apply another entry's report; return newly quarantined suspects."""
        is_new = False
        for key, report in reports.items():
            if report.incarnations:
                suspect = self._store.find_or_add(key)
                is_new |= suspect.apply_report(report, now)
        self._store.remove_expired(now)
        return self._decide() if is_new else frozenset()

    def make_report(self, now: float) -> dict[str, CrashReport]:
        """Return a report for other entries."""
        self._store.remove_expired(now)
        return self._store.make_report(self.quarantined, now)

    def crashes(self, key: str) -> int:
        """Return the number of upstreams that ended under a suspect."""
        suspect = self._store.suspects.get(key)
        return len(suspect.ends) if suspect else 0

    def find_quarantine(
        self, causes: RequestCauses, now: float
    ) -> Quarantine | None:
        """Return the quarantine of a request, or None if it may run.

        A request that may run as a trial is recorded as one.
        """
        suspects = self._store.find(causes.keys)
        left_s = {
            key: self._store.expires_at(suspects[key]) - now
            for key in self.quarantined.intersection(suspects)
        }
        if not left_s:
            return None
        longest = max(left_s, key=lambda key: left_s[key])
        if left_s[longest] <= 0 or self._try(causes, left_s, now):
            return None
        return Quarantine(longest, left_s[longest])

    def may_reach_limit(self, causes: RequestCauses, further: int) -> bool:
        """Return whether further ends would quarantine the request."""
        suspects = self._store.find(causes.keys).values()
        counts = (len(suspect.list_ends(())) for suspect in suspects)
        return max(counts, default=0) + further >= self._crash_limit

    def _try(
        self, causes: RequestCauses, quarantined: Collection[str], now: float
    ) -> bool:
        """Return whether a request may run as a trial, and record it."""
        if causes.fingerprint in quarantined:
            return False
        suspects = self._store.find(causes.part_keys)
        held = [suspects[key] for key in quarantined]
        if not may_try(held, suspects.values(), now, self._trial_delay_s):
            return False
        for suspect in held:
            suspect.record_trial(now)
        self._store.mark_changed(quarantined)
        return True

    def _decide(self) -> frozenset[str]:
        """Quarantine the causes of ends; return the new ones.

        A suspect stays quarantined until it is cleared, refuted or expires.
        """
        self._store.drop_surplus(self.quarantined)
        suspects = self._store.find(self.quarantined)
        kept = {
            key for key, suspect in suspects.items() if not suspect.is_cleared
        }
        known = self._store.suspects
        kept -= find_refuted(known, kept, self._crash_limit)
        found = find_causes(known, kept, self._crash_limit)
        self.quarantined = frozenset(kept.union(found))
        return frozenset(found)
