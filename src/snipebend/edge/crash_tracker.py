"""Quarantines requests and prompt parts under which upstreams have ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.edge.upstream_pool import ProbeOutcome
from snipebend.hashing.part_keys import is_part_key, make_part_keys
from snipebend.relay.crash_evidence import BrokenCall, CrashEvidence
from snipebend.relay.crash_report import UpstreamEnd
from snipebend.relay.crash_table import CrashTable
from snipebend.relay.crash_trials import MAX_TRIAL_DELAY_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection, Mapping
    from random import Random

    from snipebend.edge.relay_meters import RelayMeters
    from snipebend.kernel.tasks import TaskSupervisor
    from snipebend.relay.causes import RequestCauses
    from snipebend.relay.crash_report import CrashReport
    from snipebend.relay.crash_table import Quarantine
    from snipebend.relay.upstreams import Upstream
    from snipebend.settings.relay import RelaySection

    #: Tries to connect to an upstream.
    Probe = Callable[[Upstream], Awaitable[ProbeOutcome]]


class CrashTracker:
    """Collects the evidence of one entry, and shares the suspects."""

    def __init__(
        self,
        cfg: RelaySection,
        now: Callable[[], float],
        meters: RelayMeters,
        tasks: TaskSupervisor,
        probe: Probe,
        rng: Random,
    ) -> None:
        """Keep the limits and the probe; nothing is counted yet."""
        self._now = now
        self._meters = meters
        self._tasks = tasks
        self._probe = probe
        self._evidence = CrashEvidence()
        self._table = CrashTable(
            cfg.crash_limit,
            cfg.quarantine_s,
            rng.uniform(0, MAX_TRIAL_DELAY_S),
        )
        #: Probes under way, by address.
        self._probes: dict[str, asyncio.Task[None]] = {}

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._table)

    @property
    def has_news(self) -> bool:
        """Return whether suspects have changed that were not reported."""
        return self._table.has_news

    def dump(self) -> dict[str, object]:
        """Return the number of suspects, and those that are quarantined."""
        return {
            'suspects': len(self._table),
            'quarantined': sorted(self._table.quarantined),
        }

    def find_quarantine(self, causes: RequestCauses) -> Quarantine | None:
        """Return the quarantine of a request, or None if it may run."""
        return self._table.find_quarantine(causes, self._now())

    async def record_broken_call(
        self,
        upstream: Upstream,
        causes: RequestCauses,
        call_started_at: float,
        events: int,
    ) -> None:
        """Record a call that was sent and broke; find out whether it counts.

        Waits for the results of probes only if they may quarantine the request:
        a retry must not be sent before that is known.
        """
        call = BrokenCall(
            upstream.record.address,
            upstream.record.incarnation,
            causes,
            events,
            call_started_at,
            self._now(),
        )
        if self._evidence.record_broken_call(call):
            self._count(call, 'its end was known')
            return
        self._start_probe(upstream)
        pending = self._evidence.pending_addresses(causes)
        if self._table.may_reach_limit(causes, len(pending)):
            await self._finish_probes(pending)

    def record_end(self, address: str, reason: str) -> None:
        """Record evidence that the upstream at an address is down."""
        now = self._now()
        is_new = not self._evidence.knows_end(address, now)
        calls = self._evidence.record_end(address, now)
        if is_new or calls:
            self._log_end(address, reason, len(calls))
        for call in calls:
            self._count(call, reason)

    def record_successor(self, address: str, reason: str) -> None:
        """Record evidence that the upstream at an address has ended before."""
        calls = self._evidence.record_successor(address, self._now())
        if calls:
            self._log_end(address, reason, len(calls))
        for call in calls:
            self._count(call, reason)

    def record_response(
        self, upstream: Upstream, call_started_at: float
    ) -> None:
        """Record that an upstream responded to a call.

        It has outlived the calls that broke before, of which those that had
        begun to respond speak for their requests.
        """
        record = upstream.record
        for call in self._evidence.record_response(
            record.address, record.incarnation, call_started_at
        ):
            if call.events:
                self._record_survival(call.causes, call.broken_at)

    def record_complete_response(self, causes: RequestCauses) -> None:
        """Record that an upstream has completed the response to a request."""
        self._record_survival(causes, self._now())

    def record_served(self, parts: Collection[str]) -> None:
        """Record that a request with these parts is served."""
        self._table.record_served(make_part_keys(parts), self._now())

    def record_activity(self, causes: RequestCauses) -> None:
        """Record that an upstream goes on with the response to a request."""
        self._report_quarantines(
            self._table.record_activity(causes, self._now()), 'here'
        )

    def make_report(self) -> dict[str, CrashReport]:
        """Return suspects for other entries, by key."""
        return self._table.make_report(self._now())

    def apply_report(
        self, entry: str, reports: Mapping[str, CrashReport]
    ) -> None:
        """Apply the suspects of another entry."""
        self._report_quarantines(
            self._table.apply_report(reports, self._now()), entry
        )

    def _record_survival(
        self, causes: RequestCauses, survived_at: float
    ) -> None:
        self._report_quarantines(
            self._table.record_survival(causes, survived_at), 'here'
        )

    def _log_end(self, address: str, reason: str, calls: int) -> None:
        logger.info(
            'event=upstream_ended address={} calls={} reason={!r}',
            address,
            calls,
            reason,
        )

    def _start_probe(self, upstream: Upstream) -> None:
        address = upstream.record.address
        if address in self._probes:
            return
        probe = self._tasks.once(
            'probe-upstream', lambda: self._probe_upstream(upstream)
        )
        self._probes[address] = probe
        probe.add_done_callback(lambda _: self._probes.pop(address))

    async def _finish_probes(self, addresses: Collection[str]) -> None:
        probes = [
            probe
            for address, probe in self._probes.items()
            if address in addresses
        ]
        if probes:
            await asyncio.wait(probes)

    async def _probe_upstream(self, upstream: Upstream) -> None:
        address = upstream.record.address
        match await self._probe(upstream):
            case ProbeOutcome.REFUSED:
                self.record_end(address, 'it refuses connections')
            case ProbeOutcome.ACCEPTED:
                self._evidence.record_accepted_connection(address, self._now())
            case ProbeOutcome.UNKNOWN:
                pass

    def _count(self, call: BrokenCall, reason: str) -> None:
        quarantined = self._table.record_end(
            call.causes,
            call.incarnation,
            UpstreamEnd(call.started_at, call.broken_at, bool(call.events)),
        )
        self._meters.count_crash()
        logger.info(
            'event=upstream_ended_under fingerprint={} parts={} upstream={} '
            + 'events={} crashes={} broken_ms_ago={:.0f} reason={!r}',
            call.causes.fingerprint,
            ','.join(call.causes.parts),
            call.incarnation,
            call.events,
            ','.join(str(self._table.crashes(key)) for key in call.causes.keys),
            1000 * (self._now() - call.broken_at),
            reason,
        )
        self._report_quarantines(quarantined, 'here')

    def _report_quarantines(self, keys: Collection[str], source: str) -> None:
        for key in keys:
            logger.warning(
                'event={} key={} crashes={} heard_by={}',
                'part_quarantined'
                if is_part_key(key)
                else 'request_quarantined',
                key,
                self._table.crashes(key),
                source,
            )
