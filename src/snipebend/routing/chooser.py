"""Chooses the upstream of an attempt, isolating suspect requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.routing.messages import Choice, ModelTarget, NoUpstream
from snipebend.routing.quarantine import Quarantine
from snipebend.routing.retry_after import (
    BUSY_RETRY_S,
    NO_UPSTREAM_RETRY_S,
    retry_after,
)
from snipebend.routing.selection import Requirements, Selector

if TYPE_CHECKING:
    from random import Random

    from snipebend.routing.candidates import CandidateSet
    from snipebend.routing.messages import RoutingRequest, Selection, Ticket
    from snipebend.routing.prefix_index import PrefixIndex
    from snipebend.routing.scoring import ScoringRules
    from snipebend.routing.upstream_state import UpstreamState


class Chooser:
    """Chooses upstreams by score, and runs suspect requests alone.

    Other requests never run on reserved upstreams, and avoid the lanes while
    these are kept free.
    """

    def __init__(self, rules: ScoringRules, prefixes: PrefixIndex) -> None:
        """Create a chooser without suspects."""
        self._rules = rules
        self._prefixes = prefixes
        self.quarantine = Quarantine()

    def choose(
        self,
        pool: CandidateSet,
        ticket: Ticket,
        exclude: frozenset[str],
        now: float,
        rng: Random,
    ) -> Selection:
        """Return the upstream of the next attempt, or that there is none."""
        if self.quarantine.is_suspect(ticket.req.fingerprint):
            return self._choose_isolated(pool, ticket, exclude, now, rng)
        selector = Selector(pool, self._rules, now, rng)
        excluded = exclude.union(self.quarantine.reserved)
        keeps_lanes_free = self.quarantine.keeps_lanes_free(now)
        lanes = pool.lanes if keeps_lanes_free else frozenset()
        choice = selector.choose(
            self._requirements(ticket.req, excluded | lanes)
        )
        if choice is None and lanes:
            choice = selector.choose(self._requirements(ticket.req, excluded))
        if choice is None:
            return _no_upstream(not pool.is_empty, rng)
        return choice

    def _requirements(
        self, req: RoutingRequest, excluded: frozenset[str]
    ) -> Requirements:
        adapter = ''
        if isinstance(req.target, ModelTarget):
            adapter = req.target.adapter
        matches = self._prefixes.find(req.chain)
        return Requirements(adapter, req.chain, matches, excluded)

    def _choose_isolated(
        self,
        pool: CandidateSet,
        ticket: Ticket,
        exclude: frozenset[str],
        now: float,
        rng: Random,
    ) -> Selection:
        states = {
            state.view.name: state
            for state in pool.healthy(now)
            if state.view.name not in exclude
        }
        lane = self.quarantine.reserve(
            ticket.number, ticket.req.fingerprint, tuple(states), now
        )
        if lane is None or self._is_busy(lane, states[lane], now):
            return _no_upstream(bool(states), rng)
        return Choice(lane, states[lane].view.incarnation, alone=True)

    def _is_busy(self, lane: str, state: UpstreamState, now: float) -> bool:
        if state.outstanding.current:
            return True
        return bool(
            state.reported_others
        ) and self.quarantine.is_waiting_for_idle(lane, now)


def _no_upstream(wait: bool, rng: Random) -> NoUpstream:
    span = BUSY_RETRY_S if wait else NO_UPSTREAM_RETRY_S
    return NoUpstream(retry_after(span, rng, min_s=span), wait)
