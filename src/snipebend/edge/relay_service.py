"""Admits requests, and connects the parts of an entry that serve them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.edge.admission_desk import AdmissionDesk
from snipebend.edge.cold_tracker import ColdTracker
from snipebend.edge.crash_tracker import CrashTracker
from snipebend.edge.host_follower import HostFollower
from snipebend.edge.open_desk import OpenDesk
from snipebend.edge.outage_wait import OutageWait
from snipebend.edge.rate_limit_tracker import RateLimitTracker
from snipebend.edge.refusal_writer import RefusalWriter
from snipebend.edge.relay_meters import GaugeSources, RelayMeters
from snipebend.edge.relayed_request import RelayedRequest
from snipebend.edge.upstream_chooser import UpstreamChooser
from snipebend.edge.upstream_notices import UpstreamNotices
from snipebend.edge.upstream_pool import UpstreamPool
from snipebend.kernel.service import Service
from snipebend.relay import problems
from snipebend.relay.admission import DEFAULT_TIMEOUT_S, Admitted, admit
from snipebend.relay.buffer_budget import make_budget
from snipebend.relay.facts import CallerFacts
from snipebend.relay.incarnations import add_start_times, select_concerned
from snipebend.relay.late_refusals import find_late_refusal
from snipebend.relay.retry_after import document_wait_deadline
from snipebend.relay.pass_times import PassTimeMeter
from snipebend.relay.upstreams import UpstreamTable
from snipebend.routing.retry_budget import RetryBudget, allowance_per_entry

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.edge.call import Call
    from snipebend.edge.upstream_pool import ProbeOutcome
    from snipebend.edge.caller_parser import CompleteRequest
    from snipebend.edge.response_writer import ResponseWriter
    from snipebend.hosts.lookup import HostIndex
    from snipebend.kernel.registry import Registry
    from snipebend.relay.buffer_budget import BufferHold
    from snipebend.relay.call_outcomes import CallOutcome
    from snipebend.relay.crash_report import CrashReport
    from snipebend.relay.facts import Dialect, RequestHead
    from snipebend.relay.problems import Refusal
    from snipebend.relay.rate_limit_table import LimitReport
    from snipebend.relay.refusals import RefusalReport
    from snipebend.relay.upstreams import Upstream
    from snipebend.settings.relay import RelaySettings
    from snipebend.state.roster import UpstreamRecord

#: Seconds between two checks of idle connections.
SWEEP_INTERVAL_S = 1.0


class RelayService(Service):
    """Serves requests."""

    def __init__(self, name: str, cfg: RelaySettings, dialect: Dialect) -> None:
        """Keep the settings."""
        super().__init__(name)
        self.dialect = dialect
        self._cfg = cfg
        self._upstreams = UpstreamTable()
        self.pass_times = PassTimeMeter()
        self._budgets: dict[str, RetryBudget] = {}
        # Only spreads choices of entries; predictable numbers do no harm.
        self._rng = random.Random()
        self._in_progress = 0
        self.buffers = make_budget(cfg.relay.memory_mb)

    async def start(self, registry: Registry) -> None:
        """Follow the document and the roster."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        self.pool = UpstreamPool(self._cfg.relay, self.dialect, self._clock)
        self._follower = registry.find('hosts', HostFollower)
        self._follower.on_upstreams = self._apply_upstreams
        self._follower.on_groups = self._upstreams.apply_group_statuses
        self.outage_wait = OutageWait(self.now)
        self._follower.on_update = self._apply_update
        self.meters = RelayMeters(
            GaugeSources(
                lambda: self._in_progress,
                lambda: self._follower.number,
                lambda: self._follower.update_age_s,
                self._retries_left,
                lambda: self._upstreams.count_statuses(
                    self.now(), self._follower.evacuations.data_centers
                ),
                lambda: 0 if self.buffers is None else self.buffers.held,
            )
        )
        self.refusal_writer = RefusalWriter(
            self.dialect, self._follower, self.meters
        )
        self._limits = RateLimitTracker(self.now, self.meters)
        self.cold = ColdTracker(
            self._cfg.relay,
            self._upstreams,
            lambda: self.now(),
            self.meters,
        )
        self._follower.on_warmth = self.cold.apply_reports
        self._follower.evacuations.on_end = self.cold.forget_data_center
        self.chooser = UpstreamChooser(
            self._upstreams,
            self._limits,
            self.cold,
            self._cfg.process.data_center,
            # Looked up at each use, as a test may stop this service's clock.
            lambda: self.now(),
            self._rng,
            self._follower.evacuations,
            self._cfg.relay.remote_weight,
        )
        self.desk = self._make_desk()
        self.crashes = CrashTracker(
            self._cfg.relay,
            self.now,
            self.meters,
            self._tasks,
            self._probe,
            self._rng,
        )
        self.notices = UpstreamNotices(
            self.now, self.meters, self._limits, self.cold, self.crashes
        )
        self._tasks.start('sweep', self._sweep_forever)

    async def stop(self) -> None:
        """Close idle connections."""
        self.pool.close()

    def ready(self) -> bool:
        """Return whether there are upstreams to call."""
        return any(True for _ in self._upstreams)

    def dump(self) -> Mapping[str, object]:
        """Return calls and upstreams."""
        return {
            'in_work': self._in_progress,
            'idle_to_upstreams': self.pool.count_idle(),
            'held_bytes': self.buffers.by_workspace if self.buffers else {},
            'upstreams': self._upstreams.dump(),
            'limits': self._limits.table.dump(),
            'cold': self.cold.table.dump(),
            'crashes': self.crashes.dump(),
            'admission': self.desk.dump(),
        }

    @property
    def index(self) -> HostIndex | None:
        """Return the document in force, if one is known."""
        return self._follower.index

    async def serve(
        self, req: CompleteRequest, response: ResponseWriter
    ) -> None:
        """Serve one request."""
        facts = self.dialect.read_caller(req.head)
        if facts is None:
            self.refusal_writer.refuse(
                response, problems.malformed(), CallerFacts()
            )
            return
        arrived_at = self.now()
        if self.index is None:
            await self._wait_for_document(facts)
        target = req.head.target.decode('latin-1')
        admitted = admit(
            self.index, facts, target, arrived_at, self._rng.random()
        )
        if not isinstance(admitted, Admitted):
            self.refusal_writer.refuse(response, admitted, facts)
            return
        self._budget(admitted.service).record_request()
        self._in_progress += 1
        try:
            await RelayedRequest(self, req, response, admitted).run()
        finally:
            self._in_progress -= 1
            self.meters.record_request(admitted, response, self.now())

    def hold_body(self, head: RequestHead, size: int) -> BufferHold | None:
        """Hold memory for a body, or return None if there is none."""
        if self.buffers is None:
            return None
        facts = self.dialect.read_caller(head)
        workspace = None
        if self.index is not None and facts is not None:
            workspace = self.index.find_workspace(facts.key)
        name = workspace.name if workspace else ''
        if not self.buffers.has_room(name, size):
            return None
        return self.buffers.hold(name, size)

    def refuse_body(self, head: RequestHead, response: ResponseWriter) -> None:
        """Refuse a request for whose body there is no memory."""
        facts = self.dialect.read_caller(head) or CallerFacts()
        refusal = problems.busy(
            self.refusal_writer.busy_retry_s(), 'no memory for the body'
        )
        self.refusal_writer.refuse(response, refusal, facts)

    def record_refusal(
        self,
        admitted: Admitted,
        refusal: Refusal,
        calls: int,
        last_call: CallOutcome | None,
    ) -> None:
        """Count a refusal that came too late for its caller.

        ``calls`` had begun, the last of them with this outcome.
        """
        late = find_late_refusal(admitted, calls, last_call, self.now())
        if late is None:
            return
        self.meters.count_late_refusal(refusal.status.value, late.cause)
        logger.info(
            'event=refused_late request={} route={} status={} cause={} '
            + 'waited_ms={:.0f} target_ms={:.0f}',
            admitted.facts.request_id,
            admitted.route.name,
            refusal.status.value,
            late.cause,
            1000 * late.waited_s,
            1000 * admitted.route.target_s,
        )

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.now()

    def record_pause(
        self, upstream: Upstream, events: int, seconds: float
    ) -> None:
        """Record the time before the latest events of a stream."""
        self.meters.record_pause(seconds)
        group = upstream.group
        if group is not None and events:
            group.record_passes(events, seconds, self.now())
            self.pass_times.record(group.name, events, seconds)

    def acquire_retry(self, admitted: Admitted) -> bool:
        """Spend one retry of the service's budget, if there is one left."""
        service = admitted.service
        budget = self._budget(service)
        acquired = budget.try_acquire(self.now())
        self.meters.count_retry(service, granted=acquired)
        logger.info(
            'event={} request={} service={} left={:.1f} cap={:.1f} entries={}',
            'retry_granted' if acquired else 'retry_refused',
            admitted.facts.request_id,
            service,
            budget.left,
            budget.balance_cap,
            self._count_entries(),
        )
        return acquired

    def acquire_move(self, admitted: Admitted) -> bool:
        """Spend one retry on moving a stream, unless few are left.

        Half of the retries that can be saved are kept for broken calls.
        """
        budget = self._budget(admitted.service)
        if budget.left - 1 < budget.balance_cap / 2:
            return False
        return self.acquire_retry(admitted)

    def own_calls(self) -> dict[str, int]:
        """Return this entry's calls in progress, by upstream identity."""
        return {
            upstream.record.identity: upstream.own_calls
            for upstream in self._upstreams
            if upstream.own_calls
        }

    def own_waiting(self) -> dict[str, dict[int, int]]:
        """Return the requests that wait here, by service and priority."""
        return self.desk.waiting()

    def apply_waiting(
        self, entry: str, waiting: dict[str, dict[int, int]]
    ) -> None:
        """Apply the requests that wait at another entry."""
        self.desk.apply_waiting(entry, waiting)

    def make_limit_reports(self) -> dict[str, LimitReport]:
        """Return the rate limit reports for others, by upstream identity."""
        reports = self._limits.table.make_report(self.now())
        return add_start_times(self._upstreams, reports)

    def apply_calls(self, entry: str, calls: dict[str, int]) -> None:
        """Apply the calls that another entry has in progress."""
        self._upstreams.apply_calls(entry, calls, self.now())

    def apply_limits(
        self, entry: str, started_at: float, limits: dict[str, LimitReport]
    ) -> None:
        """Apply another entry's rate limit reports."""
        concerned = select_concerned(self._upstreams, limits)
        self._limits.apply_report(entry, started_at, concerned)

    def make_refusal_reports(self) -> dict[str, RefusalReport]:
        """Return the refusal reports for others, by upstream identity."""
        return self._upstreams.report_refusals(self.now())

    def apply_refusals(
        self, entry: str, refusals: dict[str, RefusalReport]
    ) -> None:
        """Apply another entry's refusal reports."""
        for upstream in self._upstreams.apply_refusals(refusals, self.now()):
            logger.info(
                'event=upstream_avoided upstream={} service={} refusals={} '
                + 'heard_by={}',
                upstream.record.identity,
                upstream.record.service,
                upstream.refusals.consecutive,
                entry,
            )

    @property
    def has_crash_news(self) -> bool:
        """Return whether crash reports have changed that were not sent."""
        return self.crashes.has_news

    def make_crash_reports(self) -> dict[str, CrashReport]:
        """Return the crash reports for others, by suspect."""
        return self.crashes.make_report()

    def apply_crashes(
        self, entry: str, crashes: dict[str, CrashReport]
    ) -> None:
        """Apply another entry's crash reports."""
        self.crashes.apply_report(entry, crashes)

    def record_reachable_share(self, share: float) -> None:
        """Record the share of entries whose messages are received here."""
        self._limits.table.share = share

    def finish_in_background(self, call: Call, deadline: float) -> None:
        """Let a call finish that must not be aborted; discard its response."""
        if not call.finished:
            timeout_s = deadline - self.now()
            self._tasks.once('finish-behind', lambda: call.drain(timeout_s))

    def _make_desk(self) -> AdmissionDesk | OpenDesk:
        cfg = self._cfg.relay.admission
        if cfg is None:
            return OpenDesk(self.chooser)
        return AdmissionDesk(
            cfg,
            self.chooser,
            lambda: self.index,
            self._count_entries,
            self.now,
            self._rng,
            self.meters,
        )

    def _retries_left(self) -> dict[str, float]:
        return {name: one.left for name, one in self._budgets.items()}

    async def _wait_for_document(self, facts: CallerFacts) -> None:
        """Hold a request for a while until the first document arrives."""
        began_at = self.now()
        timeout_s = facts.timeout_s or DEFAULT_TIMEOUT_S
        deadline = document_wait_deadline(began_at, began_at + timeout_s)
        available = await self.outage_wait.wait_until(
            lambda: self.index is not None, deadline
        )
        logger.info(
            'event=waited request={} for=document known={} waited_ms={:.0f} '
            + 'waiting={}',
            facts.request_id,
            available,
            1000 * (self.now() - began_at),
            self.outage_wait.waiting,
        )

    def _budget(self, service: str) -> RetryBudget:
        allowance = allowance_per_entry(
            self._cfg.relay.retry_slack, self._count_entries()
        )
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._cfg.relay.retry_ratio, allowance)
            self._budgets[service] = budget
        budget.update_allowance(allowance)
        return budget

    def _count_entries(self) -> int:
        return self._follower.fleet.count(self.now()) + 1

    def _apply_update(self) -> None:
        self.cold.update(self._follower)
        self.outage_wait.wake()

    def _apply_upstreams(self, records: tuple[UpstreamRecord, ...]) -> None:
        for record in records:
            logger.info(
                'event=upstream_seen upstream={} service={} phase={} '
                + 'address={} roster_revision={}',
                record.identity,
                record.service,
                record.phase.name,
                record.address,
                record.revision,
            )
            if self._upstreams.find(record.identity) is None:
                self.crashes.record_successor(
                    record.address, 'another took its place'
                )
        for ended in self._upstreams.apply_records(records, self.now()):
            self.crashes.record_successor(
                ended.record.address, 'control knows of its end'
            )
            self.pool.close_idle(ended.record.identity)
            self._limits.table.remove(ended.record.identity, self.now())
            self.cold.table.remove(ended.record.identity)

    async def _probe(self, upstream: Upstream) -> ProbeOutcome:
        record = upstream.record
        return await self.pool.probe(record.identity, record.address)

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.pool.close_expired()
