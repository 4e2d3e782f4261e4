"""Quarantines requests under which upstreams have ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.relay.crash_evidence import BrokenCall, CrashEvidence
from snipebend.relay.crash_table import CrashTable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection, Mapping

    from snipebend.edge.relay_meters import RelayMeters
    from snipebend.kernel.tasks import TaskSupervisor
    from snipebend.relay.causes import RequestCauses
    from snipebend.relay.crash_table import CrashReport
    from snipebend.relay.upstreams import Upstream
    from snipebend.settings.relay import RelaySection

    #: Returns whether the address of an upstream refuses connections.
    Probe = Callable[[Upstream], Awaitable[bool]]


class CrashTracker:
    """Collects the evidence of one entry, and shares the counts."""

    def __init__(
        self,
        cfg: RelaySection,
        now: Callable[[], float],
        meters: RelayMeters,
        tasks: TaskSupervisor,
        probe: Probe,
    ) -> None:
        """Keep the limits and the probe; nothing is counted yet."""
        self._now = now
        self._meters = meters
        self._tasks = tasks
        self._probe = probe
        self._evidence = CrashEvidence()
        self._table = CrashTable(cfg.crash_limit, cfg.quarantine_s)
        #: Probes under way, by address.
        self._probes: dict[str, asyncio.Task[None]] = {}

    def __len__(self) -> int:
        """Return the number of requests under which upstreams have ended."""
        return len(self._table)

    @property
    def revision(self) -> int:
        """Return a number that increases with each end that is counted."""
        return self._table.revision

    def quarantine_left_s(self, fingerprint: str) -> float:
        """Return seconds until the end of a request's quarantine, or 0."""
        return self._table.quarantine_left_s(fingerprint, self._now())

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
        pending = self._evidence.pending_addresses(call.causes.fingerprint)
        if self._table.may_reach_limit(call.causes.fingerprint, len(pending)):
            await self._finish_probes(pending)

    def record_end(self, address: str, reason: str) -> None:
        """Record evidence that the upstream at an address has ended."""
        now = self._now()
        is_new = not self._evidence.knows_end(address, now)
        calls = self._evidence.record_end(address, now)
        if is_new or calls:
            self._log_end(address, reason, len(calls))
        for call in calls:
            self._count(call, reason)

    def record_successor(self, address: str) -> None:
        """Record that another upstream has announced itself at an address."""
        reason = 'another took its place'
        calls = self._evidence.record_end(address, self._now())
        if calls:
            self._log_end(address, reason, len(calls))
        for call in calls:
            self._count(call, reason)

    def make_report(self) -> dict[str, CrashReport]:
        """Return the counts for other entries, by fingerprint."""
        return self._table.make_report(self._now())

    def apply_report(
        self, entry: str, reports: Mapping[str, CrashReport]
    ) -> None:
        """Apply the counts of another entry."""
        for fingerprint in self._table.apply_report(reports, self._now()):
            self._report_quarantine(fingerprint, entry)

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
        if await self._probe(upstream):
            self.record_end(upstream.record.address, 'it refuses connections')

    def _count(self, call: BrokenCall, reason: str) -> None:
        now = self._now()
        quarantined = self._table.record(
            call.causes.fingerprint, call.incarnation, now
        )
        self._meters.count_crash()
        logger.info(
            'event=upstream_ended_under fingerprint={} parts={} upstream={} '
            + 'events={} crashes={} broken_ms_ago={:.0f} reason={!r}',
            call.causes.fingerprint,
            ','.join(call.causes.parts),
            call.incarnation,
            call.events,
            self._table.crashes(call.causes.fingerprint),
            1000 * (now - call.broken_at),
            reason,
        )
        if quarantined:
            self._report_quarantine(call.causes.fingerprint, 'here')

    def _report_quarantine(self, fingerprint: str, source: str) -> None:
        logger.warning(
            'event=request_quarantined fingerprint={} crashes={} left_s={:.0f} '
            + 'heard_by={}',
            fingerprint,
            self._table.crashes(fingerprint),
            self.quarantine_left_s(fingerprint),
            source,
        )
