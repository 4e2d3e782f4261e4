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
            return self._choose_alone(pool, ticket, exclude, rng)
        need = self._need(pool, ticket.req, exclude)
        choice = Selector(pool, self._rules, now, rng).choose(need)
        if choice is None:
            return _shortage(bool(pool.serving()), rng)
        return choice

    def _need(
        self,
        pool: CandidateSet,
        req: RoutingRequest,
        exclude: frozenset[str],
    ) -> Need:
        adapter = ''
        if isinstance(req.target, ModelTarget):
            adapter = req.target.adapter
        reserved = self.quarantine.reserved
        return Need(
            adapter,
            req.chain,
            self._prefixes.find(req.chain),
            exclude.union(reserved) if reserved else exclude,
            pool.lanes if self.quarantine.has_suspects else frozenset(),
        )

    def _choose_alone(
        self,
        pool: CandidateSet,
        ticket: Ticket,
        exclude: frozenset[str],
        rng: Random,
    ) -> Selection:
        states = {
            state.view.name: state
            for state in pool.serving()
            if state.view.name not in exclude
        }
        lane = self.quarantine.reserve(
            ticket.number, ticket.req.fingerprint, tuple(states)
        )
        if lane is None or states[lane].load:
            return _shortage(bool(states), rng)
        return Choice(lane, states[lane].view.incarnation, alone=True)


def _shortage(wait: bool, rng: Random) -> NoUpstream:
    span = BUSY_RETRY_S if wait else NO_UPSTREAM_RETRY_S
    return NoUpstream(retry_after(span, rng, least_s=span), wait)
