"""Model of a group of engines in lockstep, with a control leader.

Runs on virtual time, so that some seconds of shifting demand on a group of 192
ranks take about one second of processor time. The duration of a pass depends,
layer by layer, on the rank with the highest load. Reports have the delay that
the engines declare.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from statistics import fmean
from typing import NamedTuple

import numpy as np

from snipebend.balancing.group_balancer import GroupBalancer
from snipebend.experts.direct_orders import (
    Arm,
    Armed,
    Go,
    Hold,
    Prepare,
    RankCounts,
    RankReport,
    Reply,
)
from snipebend.experts.layer_state import layer_skew
from snipebend.experts.map_search import ChangeLimits, MapSearch
from snipebend.experts.sizes import ExpertSizes, initial_map
from snipebend.hosts.model import (
    EngineProfile,
    HostRoute,
    HostService,
    HostTable,
    RequestKind,
    TrafficSplit,
)
from snipebend.kernel.registry import Registry
from snipebend.kernel.tasks import TaskSupervisor
from snipebend.orders.flow import MAX_REPLY_TIMEOUT_S
from snipebend.state.roster import RecordRequest, UpstreamRecord
from tests.balancing.fakes import LeadingStore, RecordingKeeper
from tests.virtual_time import LoopClock

EXPERT_SHARE = 0.85
LAG_S = 0.2
ROUND_TRIP_S = 0.004
#: Seconds between two reports of pass times by entries.
ENTRY_REPORT_INTERVAL_S = 0.1
#: Expert selections per rank, layer and pass: two streams of a few tokens.
SELECTIONS = 500
#: Share of the experts whose popularity a demand shift exchanges.
SHIFT_SHARE = 0.65


class GroupShape(NamedTuple):
    """The dimensions and pass times of a group; times in seconds."""

    ranks: int
    layers: int
    experts: int
    places: int
    #: Unevenness of expert popularity: under the first map, the fullest rank
    #: has two to four times the mean load.
    exponent: float
    #: Duration of a pass without skew.
    pass_s: float = 0.05
    #: Permitted pause of a stream.
    pause_s: float = 0.2
    fetch_s: float = 0.0076
    spare: int = 2
    #: Part of a pass that depends on the slowest rank's pace only.
    steps_s: float = 0

    def table(self):
        """Return a document that declares such engines."""
        engine = EngineProfile(
            3,
            1000,
            layers=self.layers,
            experts=self.experts,
            places=self.places,
            spare=self.spare,
            fetch_s=self.fetch_s,
            expert_share=EXPERT_SHARE,
            report_lag_s=LAG_S,
        )
        route = HostRoute(
            'r',
            'h',
            '/',
            RequestKind.STREAM,
            8.0,
            0.6,
            1,
            (TrafficSplit('s', 1),),
            2,
            gap_s=self.pause_s,
        )
        return HostTable(1, (route,), (HostService('s', '/', 9, engine),))


class ModelGroup:
    """Models the ranks of a group, their demand and their passes."""

    def __init__(self, shape, seed):
        self.shape = shape
        self.step = 10
        self.version = 0
        self.skew = 1.0
        #: Time at which each map version was activated.
        self.changed_at = {}
        #: Time until which readings of counts fail.
        self.unreadable_until = 0.0
        self.readings = 0
        self._rng = random.Random(seed)
        self._noise = np.random.default_rng(seed)
        self._held = None
        self._released = asyncio.Event()
        self._prepared = {}
        self._armed = {}
        self._plans = {}
        sizes = ExpertSizes(shape.layers, shape.experts, shape.places, 2, 1)
        self._layers = initial_map(sizes, shape.ranks)
        self._popularity = np.array(
            [self._random_popularity() for _ in range(shape.layers)]
        )
        #: Counts of the ranks that were read, and the pass they extend to.
        self._counts = {}
        self._history = deque(maxlen=100)
        #: How many times as long each rank takes, and what its reports say.
        self.paces = (1.0,) * shape.ranks
        self._reported_paces = deque([(0.0, self.paces)])
        self._update_skew()

    def slow_down(self, slow, *, reported=None):
        """Set the paces of some ranks; the others have their usual pace.

        ``reported`` are the paces that reports state if these are wrong.
        """
        self.paces = self._all_paces(slow)
        stated = slow if reported is None else reported
        self._reported_paces.append((_now(), self._all_paces(stated)))
        self._update_skew()

    def drift(self, pairs):
        """Exchange the popularity of experts adjacent in popularity."""
        self._settle_counts()
        for popularity in self._popularity:
            order = np.argsort(popularity)
            for at in self._rng.sample(range(len(order) - 1), pairs):
                pair = order[[at, at + 1]]
                popularity[pair] = popularity[pair[::-1]]
        self._update_skew()

    def shift_demand(self):
        """Exchange the popularity of many experts."""
        self._settle_counts()
        for popularity in self._popularity:
            places = self._rng.sample(
                range(len(popularity)), int(SHIFT_SHARE * len(popularity))
            )
            moved = list(places)
            self._rng.shuffle(moved)
            popularity[places] = popularity[moved]
        self._update_skew()

    def best_skew(self):
        """Return the skew of a map computed from the true demand."""
        shape = self.shape
        sizes = ExpertSizes(shape.layers, shape.experts, shape.places, 2, 1)
        loads = (self._popularity * shape.ranks).tolist()
        search = MapSearch(
            initial_map(sizes, shape.ranks),
            loads,
            ChangeLimits(shape.places, shape.places),
        )
        return fmean(map(layer_skew, search.run(), loads))

    def scale_pass_to(self, pass_s):
        """Scale passes to ``pass_s`` seconds under the map in force."""
        self.shape = self.shape._replace(
            pass_s=self.shape.pass_s * pass_s / self.pass_s
        )

    async def run(self, pass_times):
        """Run passes forever, and report their durations as entries do."""
        reported_at = 0.0
        while True:
            self._begin_pass()
            length_s = self.pass_s
            await asyncio.sleep(length_s)
            now = _now()
            if now >= reported_at + ENTRY_REPORT_INTERVAL_S:
                reported_at = now
                pass_times.record('g', 10, 10 * length_s, now)
            while self._held == self.step + 1:
                self._released.clear()
                await self._released.wait()

    @property
    def pass_s(self):
        """Return the duration of a pass in seconds."""
        stretch = (1 - EXPERT_SHARE) * max(self.paces)
        stretch += EXPERT_SHARE * self.skew
        return (
            self.shape.steps_s * max(self.paces) + self.shape.pass_s * stretch
        )

    async def read_report(self, upstream):
        await asyncio.sleep(ROUND_TRIP_S)
        rank = int(upstream.identity)
        step, version, held = self._state_at(_now() - LAG_S)
        return RankReport(
            upstream.identity,
            'g',
            1,
            rank,
            self.shape.ranks,
            is_open=True,
            step=step,
            map_version=version,
            prepared=self._prepared_version(rank),
            armed=self._armed.get(rank),
            held=held if rank == 0 else None,
            slowness=self._reported_paces_at(_now() - LAG_S)[rank],
        )

    async def read_counts(self, upstream):
        self.readings += 1
        if _now() < self.unreadable_until:
            await asyncio.sleep(MAX_REPLY_TIMEOUT_S)
            return None
        await asyncio.sleep(ROUND_TRIP_S)
        rank = int(upstream.identity)
        counts = self._count(rank)
        return RankCounts(1, self.step, tuple(counts.ravel().tolist()))

    async def read_map(self, upstream):
        rank = int(upstream.identity)
        return tuple(layer[rank] for layer in self._layers)

    async def send_order(self, upstream, order):
        await asyncio.sleep(ROUND_TRIP_S)
        return Reply.ACCEPTED if self._execute(order) else Reply.REFUSED

    async def close(self):
        """Do nothing: no connections are open."""

    def load(self):
        """Do nothing: no modules are required."""

    def _execute(self, order):
        match order:
            case Prepare(rank=rank, version=version, layers=layers):
                self._plans[version] = layers
                ready_at = _now() + 4 * self.shape.fetch_s
                self._prepared.setdefault(rank, (version, ready_at))
                if self._prepared[rank][0] != version:
                    self._prepared[rank] = (version, ready_at)
                return True
            case Hold(step=step):
                if step <= self.step:
                    return False
                self._held = step
                return True
            case Arm(rank=rank, version=version, step=step):
                if step <= self.step or self._prepared_version(rank) != version:
                    return False
                self._armed[rank] = Armed(version, step)
                return True
            case Go(step=step):
                if self._held != step:
                    return False
                self._held = None
                self._released.set()
                return True

    def _begin_pass(self):
        self._history.append((_now(), self.step, self.version, self._held))
        self.step += 1
        due = [one for one in self._armed.values() if one.step == self.step]
        if not due:
            return
        assert len(due) == self.shape.ranks, 'ranks have different maps'
        self.version = due[0].version
        self.changed_at[self.version] = _now()
        self._layers = self._plans[self.version]
        self._armed.clear()
        self._update_skew()

    def _prepared_version(self, rank):
        version, ready_at = self._prepared.get(rank, (None, 0))
        return version if _now() >= ready_at else None

    def _state_at(self, moment):
        for at, step, version, held in reversed(self._history):
            if at <= moment:
                return step, version, held
        return self._history[0][1:] if self._history else (self.step, 0, None)

    def _all_paces(self, slow):
        return tuple(slow.get(rank, 1.0) for rank in range(self.shape.ranks))

    def _reported_paces_at(self, moment):
        known = [paces for at, paces in self._reported_paces if at <= moment]
        return known[-1] if known else self._reported_paces[0][1]

    def _update_skew(self):
        loads = (self._popularity * self.shape.ranks).tolist()
        self.skew = fmean(
            layer_skew(layer, layer_loads, self.paces)
            for layer, layer_loads in zip(self._layers, loads, strict=True)
        )

    def _random_popularity(self):
        experts = range(1, self.shape.experts + 1)
        weights = np.array(
            [1 / place**self.shape.exponent for place in experts]
        )
        self._noise.shuffle(weights)
        return weights / weights.sum()

    def _settle_counts(self):
        for rank in self._counts:
            self._count(rank)

    def _count(self, rank):
        counts, step = self._counts.get(rank, (0, self.step))
        expected = (self.step - step) * SELECTIONS * self._popularity
        counts = counts + self._noise.poisson(expected)
        self._counts[rank] = (counts, self.step)
        return counts


class Leader:
    """A control leader, which can be stopped at any time."""

    def __init__(self, group, pass_times, before=None, term=1):
        self.store = LeadingStore(before and before.store.local_machine, term)
        self._registry = Registry(LoopClock(), TaskSupervisor())
        self._registry.register(self.store)
        self._registry.register(RecordingKeeper())
        table = group.shape.table()
        self._balancer = GroupBalancer('b', group, lambda: table, pass_times)
        for rank in range(group.shape.ranks):
            address = f'10.0.0.{rank}:80'
            record = UpstreamRecord(str(rank), 's', address, 'dc', 3)
            self.store.local_machine.state.roster.record(RecordRequest(record))

    async def start(self):
        await self._balancer.start(self._registry)

    async def stop(self):
        """Stop all tasks, also in the middle of an operation."""
        await self._registry.tasks.stop()


def _now():
    return asyncio.get_running_loop().time()
