"""A group of engines in lock-step, and a control leader before it.

All on virtual time, so that a group of 192 ranks plays some seconds of demand
that turns in about one of a processor. A pass takes as long as the fullest rank
needs, set by set; reports are as late as engines declare.
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
from snipebend.experts.map_search import Bounds, MapSearch
from snipebend.experts.sizes import ExpertSizes, first_map
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
from snipebend.orders.flow import MOST_S
from snipebend.state.roster import RecordRequest, UpstreamRecord
from tests.balancing.fakes import HearingKeeper, LeadingStore
from tests.virtual_time import LoopClock

EXPERT_SHARE = 0.85
LAG_S = 0.2
ROUND_TRIP_S = 0.004
#: Between what entries tell.
TELL_EVERY_S = 0.1
#: Choices of one rank, layer and pass: some two streams of a few tokens.
CHOICES = 500
#: Share of the experts whose liking a turn exchanges.
TURN = 0.65


class Shape(NamedTuple):
    """A group, and how long its passes are; times in seconds."""

    ranks: int
    layers: int
    experts: int
    places: int
    #: How unevenly experts are liked: the fullest rank of the first map has
    #: two to four times the mean.
    exponent: float
    #: Of a pass without skew.
    pass_s: float = 0.05
    #: What a stream may pause.
    pause_s: float = 0.2
    fetch_s: float = 0.0076
    spare: int = 2

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
    """The ranks, their demand and their passes."""

    def __init__(self, shape, seed):
        self.shape = shape
        self.step = 10
        self.version = 0
        self.skew = 1.0
        #: When each version came into force.
        self.changed_at = {}
        #: Until when readings of counts find nobody.
        self.unread_until = 0.0
        self.readings = 0
        self._rng = random.Random(seed)
        self._noise = np.random.default_rng(seed)
        self._held = None
        self._let_go = asyncio.Event()
        self._prepared = {}
        self._armed = {}
        self._plans = {}
        sizes = ExpertSizes(shape.layers, shape.experts, shape.places, 2, 1)
        self._layers = first_map(sizes, shape.ranks)
        self._liked = np.array([self._likings() for _ in range(shape.layers)])
        #: Of ranks that were read: their counts, and up to which pass.
        self._counts = {}
        self._past = deque(maxlen=100)
        self._weigh()

    def drift(self, pairs):
        """Exchange what some experts are liked with those next in liking."""
        self._settle_counts()
        for liked in self._liked:
            order = np.argsort(liked)
            for at in self._rng.sample(range(len(order) - 1), pairs):
                pair = order[[at, at + 1]]
                liked[pair] = liked[pair[::-1]]
        self._weigh()

    def turn(self):
        """Exchange the liking of many experts."""
        self._settle_counts()
        for liked in self._liked:
            places = self._rng.sample(range(len(liked)), int(TURN * len(liked)))
            moved = list(places)
            self._rng.shuffle(moved)
            liked[places] = liked[moved]
        self._weigh()

    def best_skew(self):
        """Return the skew of a map that is made from the true demand."""
        shape = self.shape
        sizes = ExpertSizes(shape.layers, shape.experts, shape.places, 2, 1)
        loads = (self._liked * shape.ranks).tolist()
        search = MapSearch(
            first_map(sizes, shape.ranks),
            loads,
            Bounds(shape.places, shape.places),
        )
        return fmean(map(layer_skew, search.run(), loads))

    def stretch_to(self, pass_s):
        """Have passes take so long from now on, with the map in force."""
        self.shape = self.shape._replace(
            pass_s=self.shape.pass_s * pass_s / self.pass_s
        )

    async def run(self, paces):
        """Make passes for ever, and have entries tell of them."""
        told_at = 0.0
        while True:
            self._begin_pass()
            length_s = self.pass_s
            await asyncio.sleep(length_s)
            now = _now()
            if now >= told_at + TELL_EVERY_S:
                told_at = now
                paces.note('g', 10, 10 * length_s, now)
            while self._held == self.step + 1:
                self._let_go.clear()
                await self._let_go.wait()

    @property
    def pass_s(self):
        """Return the seconds of a pass."""
        stretch = 1 - EXPERT_SHARE + EXPERT_SHARE * self.skew
        return self.shape.pass_s * stretch

    async def report(self, upstream):
        await asyncio.sleep(ROUND_TRIP_S)
        rank = int(upstream.identity)
        step, version, held = self._seen_before(_now() - LAG_S)
        return RankReport(
            upstream.identity,
            'g',
            1,
            rank,
            self.shape.ranks,
            is_open=True,
            step=step,
            map_version=version,
            prepared=self._ready(rank),
            armed=self._armed.get(rank),
            held=held if rank == 0 else None,
        )

    async def counts(self, upstream):
        self.readings += 1
        if _now() < self.unread_until:
            await asyncio.sleep(MOST_S)
            return None
        await asyncio.sleep(ROUND_TRIP_S)
        rank = int(upstream.identity)
        counts = self._count(rank)
        return RankCounts(1, self.step, tuple(counts.ravel().tolist()))

    async def held(self, upstream):
        rank = int(upstream.identity)
        return tuple(layer[rank] for layer in self._layers)

    async def order(self, upstream, order):
        await asyncio.sleep(ROUND_TRIP_S)
        return Reply.ACCEPTED if self._obey(order) else Reply.REFUSED

    async def close(self):
        """Nothing is open."""

    def load(self):
        """Nothing is needed."""

    def _obey(self, order):
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
                if step <= self.step or self._ready(rank) != version:
                    return False
                self._armed[rank] = Armed(version, step)
                return True
            case Go(step=step):
                if self._held != step:
                    return False
                self._held = None
                self._let_go.set()
                return True

    def _begin_pass(self):
        self._past.append((_now(), self.step, self.version, self._held))
        self.step += 1
        due = [one for one in self._armed.values() if one.step == self.step]
        if not due:
            return
        assert len(due) == self.shape.ranks, 'ranks have different maps'
        self.version = due[0].version
        self.changed_at[self.version] = _now()
        self._layers = self._plans[self.version]
        self._armed.clear()
        self._weigh()

    def _ready(self, rank):
        version, ready_at = self._prepared.get(rank, (None, 0))
        return version if _now() >= ready_at else None

    def _seen_before(self, moment):
        for at, step, version, held in reversed(self._past):
            if at <= moment:
                return step, version, held
        return self._past[0][1:] if self._past else (self.step, 0, None)

    def _weigh(self):
        loads = (self._liked * self.shape.ranks).tolist()
        self.skew = fmean(map(layer_skew, self._layers, loads))

    def _likings(self):
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
        expected = (self.step - step) * CHOICES * self._liked
        counts = counts + self._noise.poisson(expected)
        self._counts[rank] = (counts, self.step)
        return counts


class Leader:
    """One control leader, until it is lost."""

    def __init__(self, group, paces, before=None, term=1):
        self.store = LeadingStore(before and before.store.kept, term)
        self._registry = Registry(LoopClock(), TaskSupervisor())
        self._registry.register(self.store)
        self._registry.register(HearingKeeper())
        table = group.shape.table()
        self._balancer = GroupBalancer('b', group, lambda: table, paces)
        for rank in range(group.shape.ranks):
            record = UpstreamRecord(str(rank), 's', '10.0.0.1:80', 'dc', 3)
            self.store.kept.state.roster.record(RecordRequest(record))

    async def start(self):
        await self._balancer.start(self._registry)

    async def lose(self):
        """End in the middle of whatever it does."""
        await self._registry.tasks.stop()


def _now():
    return asyncio.get_running_loop().time()
