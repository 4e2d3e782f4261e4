"""Admits requests, chooses upstreams, and keeps count of both."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.edge.caller_connection import CallerConnection
from snipebend.edge.host_follower import HostFollower
from snipebend.edge.relayed_request import Admitted, RelayedRequest, refuse
from snipebend.edge.upstream_pool import UpstreamPool
from snipebend.hosts.lookup import pick_service
from snipebend.hosts.model import CallerLimits
from snipebend.kernel.service import Service
from snipebend.relay import problems
from snipebend.relay.choosing import Wish, choose
from snipebend.relay.facts import CallerFacts
from snipebend.relay.upstreams import UpstreamTable
from snipebend.routing.retry_budget import RetryBudget
from snipebend.settings.model import split_address
from snipebend.transport.http_server import open_listener

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from snipebend.edge.answer_writer import AnswerWriter
    from snipebend.edge.call import Call
    from snipebend.edge.caller_parser import WholeRequest
    from snipebend.kernel.registry import Registry
    from snipebend.relay.facts import Dialect
    from snipebend.relay.problems import Refusal
    from snipebend.relay.upstreams import Upstream
    from snipebend.settings.model import RelaySettings
    from snipebend.state.roster import UpstreamRecord

#: Seconds between two looks at idle connections.
SWEEP_EVERY_S = 1.0

#: Bounds of the time after which a refused caller shall come back, in
#: seconds: about one work item of a full pool.
LEAST_WAIT_S = 0.1
MOST_WAIT_S = 0.4

#: Seconds of a graceful stop in which new connections are still taken: the
#: balancer needs two failed looks, one a second, to send them elsewhere.
ACCEPT_S = 2.6

#: Seconds before the end of a graceful stop in which what is left is cut.
LEAVE_EARLY_S = 0.4


class RelayDesk(Service):
    """Serves callers' connections."""

    def __init__(
        self, name: str, cfg: RelaySettings, dialect: Dialect
    ) -> None:
        """Keep the settings; nothing listens yet."""
        super().__init__(name)
        self.dialect = dialect
        self.draining = False
        self._cfg = cfg
        self._upstreams = UpstreamTable()
        self._budgets: dict[str, RetryBudget] = {}
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        # Spreads entries' choices only; nobody gains by guessing it.
        self._rng = random.Random()
        self._in_work = 0

    async def start(self, registry: Registry) -> None:
        """Follow the document, then listen."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        self.pool = UpstreamPool(self._cfg.relay, self.dialect, self._clock)
        self._follower = registry.find('hosts', HostFollower)
        self._follower.on_upstreams = self._take_upstreams
        sock = open_listener(*split_address(self._cfg.callers))
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock
        )
        self._tasks.start('sweep', self._sweep_for_ever)
        host, port = sock.getsockname()[:2]
        self.address = f'{host}:{port}'
        logger.info('event=listening proto=relay address={}', self.address)

    async def drain(self) -> None:
        """Take what still comes, then end connections between requests."""
        stop_by = self._clock.now() + self._cfg.stop_within_s - LEAVE_EARLY_S
        self.draining = True
        await asyncio.sleep(min(ACCEPT_S, self._cfg.stop_within_s / 3))
        if self._server is not None:
            self._server.close()
        while self._connections and self._clock.now() < stop_by:
            for conn in tuple(self._connections):
                conn.close_if_idle()
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Cut what is left."""
        for conn in tuple(self._connections):
            conn.cut()
        self.pool.close()

    def ready(self) -> bool:
        """Tell whether there are upstreams to call."""
        return any(True for _ in self._upstreams)

    def dump(self) -> Mapping[str, object]:
        """Return connections, calls and upstreams."""
        return {
            'connections': len(self._connections),
            'in_work': self._in_work,
            'idle_to_upstreams': self.pool.sizes(),
            'upstreams': {
                upstream.record.identity: {
                    'service': upstream.record.service,
                    'phase': upstream.record.phase.name,
                    'own_calls': upstream.own_calls,
                    'calls': upstream.calls,
                    'failures': upstream.failures,
                    'displaced': upstream.displaced,
                }
                for upstream in self._upstreams
            },
        }

    # What connections ask for.

    @property
    def limits(self) -> CallerLimits:
        """Return the bounds on what callers send."""
        index = self._follower.index
        return index.table.limits if index else CallerLimits()

    def opened(self, conn: CallerConnection) -> None:
        """Note a new connection."""
        self._connections.add(conn)

    def closed(self, conn: CallerConnection) -> None:
        """Forget a connection."""
        self._connections.discard(conn)

    async def serve(self, req: WholeRequest, answer: AnswerWriter) -> None:
        """Answer one request."""
        facts = self.dialect.read_caller(req.head)
        if facts is None:
            self.refuse(answer, problems.malformed(), CallerFacts())
            return
        admitted = self._admit(req, facts)
        if not isinstance(admitted, Admitted):
            self.refuse(answer, admitted, facts)
            return
        self._budget(admitted.service).note_request()
        self._in_work += 1
        try:
            await RelayedRequest(self, req, answer, admitted).run()
        finally:
            self._in_work -= 1

    # What requests ask for.

    @property
    def number(self) -> int:
        """Return the number of the document in force."""
        return self._follower.number

    @property
    def news_age_s(self) -> float:
        """Return seconds since control last told something."""
        return self._follower.age_s

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.now()

    async def choose(
        self, admitted: Admitted, tried: Sequence[str]
    ) -> Upstream | None:
        """Return an upstream for a call; none: all are full or away."""
        return self._pick(admitted, tried)

    def has_other(self, admitted: Admitted, tried: Sequence[str]) -> bool:
        """Tell whether an upstream is left that wasn't tried."""
        return self._pick(admitted, tried) is not None

    def take_retry(self, service: str) -> bool:
        """Take one retry of a service's budget, if it has any."""
        return self._budget(service).take(self._clock.now())

    def begin_call(self, upstream: Upstream) -> None:
        """Count a call."""
        upstream.own_calls += 1

    def end_call(self, upstream: Upstream) -> None:
        """Count the end of a call."""
        upstream.own_calls -= 1

    def own_calls(self) -> dict[str, int]:
        """Return the calls under way, by the upstream's identity."""
        return {
            upstream.record.identity: upstream.own_calls
            for upstream in self._upstreams
            if upstream.own_calls
        }

    def take_calls(self, entry: str, calls: dict[str, int]) -> None:
        """Take over what another entry has under way."""
        self._upstreams.take_calls(entry, calls)

    def finish_behind(self, call: Call, deadline: float) -> None:
        """Let a call end that must not be broken off; its answer is lost."""
        if call.over:
            return
        self._tasks.once(
            'finish-behind', lambda: _read_out(call, deadline - self._clock.now())
        )

    def wait_s(self) -> float:
        """Return when a refused caller shall come back, with jitter."""
        return self._rng.uniform(LEAST_WAIT_S, MOST_WAIT_S)

    def refuse(
        self, answer: AnswerWriter, refusal: Refusal, facts: CallerFacts
    ) -> None:
        """Write an own answer, and say why."""
        logger.info(
            'event=refused request={} status={} outcome={} detail={!r} '
            + 'retry_after={:.2f} document={} news_age_ms={:.0f}',
            facts.request_id,
            refusal.status.value,
            refusal.outcome.value,
            refusal.detail,
            refusal.wait_s,
            self.number,
            1000 * self.news_age_s,
        )
        headers = self.dialect.refusal_headers(
            facts.request_id, refusal.wait_s
        )
        refuse(answer, refusal, headers)

    def _pick(
        self, admitted: Admitted, tried: Sequence[str]
    ) -> Upstream | None:
        wish = Wish(self._cfg.process.data_center, tried)
        members = self._upstreams.of_service(admitted.service)
        return choose(members, wish, self._clock.now(), self._rng)

    def _admit(
        self, req: WholeRequest, facts: CallerFacts
    ) -> Admitted | Refusal:
        index = self._follower.index
        if index is None:
            return problems.no_document()
        target = req.head.target.decode('latin-1')
        route = index.find_route(facts.host, target)
        if route is None:
            return problems.no_route()
        workspace = index.find_workspace(facts.key) if facts.key else None
        if workspace is None and index.needs_keys and not route.anonymous:
            return problems.unknown_key()
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        now = self._clock.now()
        patience_s = route.timeout_s
        if facts.patience_s is not None:
            patience_s = min(patience_s, facts.patience_s)
        return Admitted(
            facts,
            route,
            pick_service(route, self._rng.random()),
            workspace.name if workspace else '',
            priority,
            now,
            now + patience_s,
        )

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._cfg.relay.retry_ratio)
            self._budgets[service] = budget
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
        for gone in self._upstreams.take(records):
            self.pool.drop(gone.record.identity)

    async def _sweep_for_ever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_EVERY_S)
            self.pool.sweep()


async def _read_out(call: Call, span_s: float) -> None:
    try:
        async with asyncio.timeout(span_s):
            while not call.over:
                await call.receive()
    except TimeoutError:
        logger.info(
            'event=call_abandoned upstream={}', call.upstream.record.identity
        )
    finally:
        call.break_off()
