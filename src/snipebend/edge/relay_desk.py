"""Admits requests, chooses their upstreams, and keeps count of the calls."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.edge.host_follower import HostFollower
from snipebend.edge.limit_keeper import LimitKeeper
from snipebend.edge.outage_wait import OutageWait
from snipebend.edge.refuser import Refuser
from snipebend.edge.relay_meters import RelayMeters, Standing
from snipebend.edge.relayed_request import RelayedRequest
from snipebend.edge.upstream_pool import UpstreamPool
from snipebend.edge.upstream_statements import UpstreamStatements
from snipebend.kernel.service import Service
from snipebend.relay import problems
from snipebend.relay.admission import DEFAULT_TIMEOUT_S, Admitted, admit
from snipebend.relay.facts import CallerFacts
from snipebend.relay.retry_after import document_wait_deadline
from snipebend.relay.step_times import StepTimeMeter
from snipebend.relay.upstream_selection import (
    CallRequirements,
    NoCapacity,
    earliest_backoff_end,
    select_upstream,
)
from snipebend.relay.upstreams import UpstreamTable
from snipebend.routing.retry_budget import RetryBudget, savings_of_one

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from snipebend.edge.answer_writer import AnswerWriter
    from snipebend.edge.call import Call
    from snipebend.edge.caller_parser import WholeRequest
    from snipebend.hosts.lookup import HostIndex
    from snipebend.kernel.registry import Registry
    from snipebend.relay.facts import Dialect
    from snipebend.relay.rate_limit_table import LimitReport
    from snipebend.relay.refusals import RefusalReport
    from snipebend.relay.upstreams import Upstream
    from snipebend.settings.relay import RelaySettings
    from snipebend.state.roster import UpstreamRecord

#: Seconds between two looks at idle connections.
SWEEP_EVERY_S = 1.0


class RelayDesk(Service):
    """Serves requests."""

    def __init__(self, name: str, cfg: RelaySettings, dialect: Dialect) -> None:
        """Keep the settings."""
        super().__init__(name)
        self.dialect = dialect
        self._cfg = cfg
        self._upstreams = UpstreamTable()
        self.paces = StepTimeMeter()
        self._budgets: dict[str, RetryBudget] = {}
        # Spreads entries' choices only; nobody gains by guessing it.
        self._rng = random.Random()
        self._in_work = 0

    async def start(self, registry: Registry) -> None:
        """Follow the document and the roster."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        self.pool = UpstreamPool(self._cfg.relay, self.dialect, self._clock)
        self._follower = registry.find('hosts', HostFollower)
        self._follower.on_upstreams = self._take_upstreams
        self._follower.on_groups = self._upstreams.apply_group_statuses
        self.outage = OutageWait(self.now)
        self._follower.on_news = self.outage.wake
        self.meters = RelayMeters(
            Standing(
                lambda: self._in_work,
                lambda: self._follower.number,
                lambda: self._follower.age_s,
                self._retries_left,
                lambda: self._upstreams.count_statuses(self.now()),
            )
        )
        self.refuser = Refuser(self.dialect, self._follower, self.meters)
        self.limits = LimitKeeper(self.now, self.meters)
        self.statements = UpstreamStatements(self.now, self.meters, self.limits)
        self._tasks.start('sweep', self._sweep_for_ever)

    async def stop(self) -> None:
        """Close idle connections."""
        self.pool.close()

    def ready(self) -> bool:
        """Tell whether there are upstreams to call."""
        return any(True for _ in self._upstreams)

    def dump(self) -> Mapping[str, object]:
        """Return calls and upstreams."""
        return {
            'in_work': self._in_work,
            'idle_to_upstreams': self.pool.sizes(),
            'upstreams': self._upstreams.dump(),
            'limits': self.limits.book.dump(),
        }

    @property
    def index(self) -> HostIndex | None:
        """Return the document in force, if one is known."""
        return self._follower.index

    async def serve(self, req: WholeRequest, answer: AnswerWriter) -> None:
        """Answer one request."""
        facts = self.dialect.read_caller(req.head)
        if facts is None:
            self.refuser.refuse(answer, problems.malformed(), CallerFacts())
            return
        arrived_at = self.now()
        if self.index is None:
            await self._wait_for_document(facts)
        target = req.head.target.decode('latin-1')
        admitted = admit(
            self.index, facts, target, arrived_at, self._rng.random()
        )
        if not isinstance(admitted, Admitted):
            self.refuser.refuse(answer, admitted, facts)
            return
        self._budget(admitted.service).note_request()
        self._in_work += 1
        try:
            await RelayedRequest(self, req, answer, admitted).run()
        finally:
            self._in_work -= 1
            self._note_end(admitted, answer)

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.now()

    def select_upstream(
        self, admitted: Admitted, tried: Sequence[str]
    ) -> Upstream | None:
        """Return an upstream for a call; none: all are full or away."""
        if not self.limits.book:
            return self._select_upstream(admitted, tried)
        wanted = self._select_upstream(admitted, tried)
        if wanted is None or not self.limits.wait_for_room_s(wanted):
            return wanted
        self.limits.note_diverted(
            admitted.facts.request_id, admitted.service, wanted
        )
        return self._select_upstream(admitted, tried, within_limits=True)

    def has_other(self, admitted: Admitted, tried: Sequence[str]) -> bool:
        """Tell whether an upstream could take one more call now."""
        found = self._select_upstream(admitted, tried, within_limits=True)
        return found is not None

    def no_capacity(
        self, admitted: Admitted, tried: Sequence[str]
    ) -> NoCapacity | None:
        """Return what upstreams said that leaves no room; none: nothing."""
        now = self.now()
        members = self._upstreams.list_service(admitted.service)
        rested_at = earliest_backoff_end(members, now)
        if rested_at is not None:
            return NoCapacity('all upstreams asked for a rest', rested_at - now)
        limited_s = self.limits.wait_for_room_s(
            self._select_upstream(admitted, tried)
        )
        if limited_s:
            return NoCapacity('limits leave no room', limited_s)
        return None

    def note_pause(
        self, upstream: Upstream, events: int, seconds: float
    ) -> None:
        """Note the time before the last events of a stream."""
        self.meters.paused(seconds)
        group = upstream.group
        if group is not None and events:
            group.record_steps(events, seconds, self.now())
            self.paces.record(group.name, events, seconds)

    def take_retry(self, service: str) -> bool:
        """Take one retry of a service's budget, if it has any."""
        taken = self._budget(service).take(self.now())
        if not taken:
            self.meters.retry_refused(service)
            logger.info('event=retry_refused service={}', service)
        return taken

    def own_calls(self) -> dict[str, int]:
        """Return the calls under way, by the upstream's identity."""
        return {
            upstream.record.identity: upstream.own_calls
            for upstream in self._upstreams
            if upstream.own_calls
        }

    def own_limits(self) -> dict[str, LimitReport]:
        """Return what to tell of limits, by the upstream's identity."""
        return self.limits.book.make_report(self.now())

    def apply_calls(self, entry: str, calls: dict[str, int]) -> None:
        """Take over what another entry has under way."""
        self._upstreams.apply_calls(entry, calls)

    def apply_limits(
        self, entry: str, started_at: float, limits: dict[str, LimitReport]
    ) -> None:
        """Take over what another entry tells of limits."""
        self.limits.apply_report(entry, started_at, limits)

    def own_refusals(self) -> dict[str, RefusalReport]:
        """Return what to tell of refusals, by the upstream's identity."""
        return self._upstreams.report_refusals(self.now())

    def apply_refusals(
        self, entry: str, refusals: dict[str, RefusalReport]
    ) -> None:
        """Take over what another entry tells of refusals."""
        for upstream in self._upstreams.apply_refusals(refusals, self.now()):
            logger.info(
                'event=upstream_avoided upstream={} service={} refusals={} '
                + 'heard_by={}',
                upstream.record.identity,
                upstream.record.service,
                upstream.refusals.consecutive,
                entry,
            )

    def record_reachable_share(self, share: float) -> None:
        """Take note of the part of all entries that is heard."""
        self.limits.book.share = share

    def finish_behind(self, call: Call, deadline: float) -> None:
        """Let a call end that must not be broken off; its answer is lost."""
        if not call.over:
            span_s = deadline - self.now()
            self._tasks.once('finish-behind', lambda: call.read_out(span_s))

    def _select_upstream(
        self,
        admitted: Admitted,
        tried: Sequence[str],
        *,
        within_limits: bool = False,
    ) -> Upstream | None:
        requirements = CallRequirements(
            self._cfg.process.data_center, admitted.route.gap_s, tried
        )
        members: Sequence[Upstream] = self._upstreams.list_service(
            admitted.service
        )
        if within_limits:
            members = self.limits.with_room(members)
        return select_upstream(members, requirements, self.now(), self._rng)

    def _retries_left(self) -> dict[str, float]:
        return {name: one.left for name, one in self._budgets.items()}

    async def _wait_for_document(self, facts: CallerFacts) -> None:
        """Let a request wait a little that came before the first news."""
        began_at = self.now()
        timeout_s = facts.timeout_s or DEFAULT_TIMEOUT_S
        until = document_wait_deadline(began_at, began_at + timeout_s)
        known = await self.outage.until(lambda: self.index is not None, until)
        logger.info(
            'event=waited request={} for=document known={} waited_ms={:.0f} '
            + 'waiting={}',
            facts.request_id,
            known,
            1000 * (self.now() - began_at),
            self.outage.waiting,
        )

    def _note_end(self, admitted: Admitted, answer: AnswerWriter) -> None:
        now = self.now()
        self.meters.request_ended(admitted, answer, now)
        first = answer.first_at
        logger.info(
            'event=request_ended request={} status={} took_ms={:.0f} '
            + 'first_ms={:.0f}',
            admitted.facts.request_id,
            answer.status,
            1000 * (now - admitted.began_at),
            -1 if first is None else 1000 * (first - admitted.began_at),
        )

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._cfg.relay.retry_ratio)
            self._budgets[service] = budget
        entries = len(self._follower.entries) + 1
        budget.take_savings(
            savings_of_one(self._cfg.relay.retry_slack, entries)
        )
        return budget

    def _take_upstreams(self, records: tuple[UpstreamRecord, ...]) -> None:
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
        for gone in self._upstreams.apply_records(records):
            self.pool.drop(gone.record.identity)
            self.limits.book.remove(gone.record.identity)

    async def _sweep_for_ever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_EVERY_S)
            self.pool.sweep()
