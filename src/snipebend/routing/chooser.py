"""The choice for one attempt: prefix hints, suspects, reserved upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.routing.messages import Choice, ModelTarget, NoUpstream
from snipebend.routing.quarantine import Quarantine
from snipebend.routing.retry_after import (
    BUSY_RETRY_S,
    NO_UPSTREAM_RETRY_S,
    retry_after,
)
from snipebend.routing.selection import Need, Selector

if TYPE_CHECKING:
    from random import Random

    from snipebend.routing.candidates import CandidateSet
    from snipebend.routing.messages import RoutingRequest, Selection, Ticket
    from snipebend.routing.prefix_index import PrefixIndex
    from snipebend.routing.scoring import ScoringRules
    from snipebend.routing.upstream_state import UpstreamState


class Chooser:
    """Chooses upstreams by the rules, and keeps suspects apart."""

    def __init__(self, rules: ScoringRules, prefixes: PrefixIndex) -> None:
        """Start without suspects."""
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
        """Choose the upstream of the next attempt."""
        if self.quarantine.is_suspect(ticket.req.fingerprint):
            return self._choose_alone(pool, ticket, exclude, now, rng)
        selector = Selector(pool, self._rules, now, rng)
        barred = exclude.union(self.quarantine.reserved)
        held = self.quarantine.holds_lanes(now)
        lanes = pool.lanes if held else frozenset()
        choice = selector.choose(self._need(ticket.req, barred | lanes))
        if choice is None and lanes:
            choice = selector.choose(self._need(ticket.req, barred))
        if choice is None:
            return _shortage(not pool.is_empty, rng)
        return choice

    def _need(self, req: RoutingRequest, barred: frozenset[str]) -> Need:
        adapter = ''
        if isinstance(req.target, ModelTarget):
            adapter = req.target.adapter
        matches = self._prefixes.find(req.chain)
        return Need(adapter, req.chain, matches, barred)

    def _choose_alone(
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
        if lane is None or self._is_taken(lane, states[lane], now):
            return _shortage(bool(states), rng)
        return Choice(lane, states[lane].view.incarnation, alone=True)

    def _is_taken(self, lane: str, state: UpstreamState, now: float) -> bool:
        if state.own.current:
            return True
        return bool(state.reported_others) and self.quarantine.is_patient(
            lane, now
        )


def _shortage(wait: bool, rng: Random) -> NoUpstream:
    span = BUSY_RETRY_S if wait else NO_UPSTREAM_RETRY_S
    return NoUpstream(retry_after(span, rng, least_s=span), wait)
