"""The choice of one upstream among the candidates of a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.routing.messages import Choice

if TYPE_CHECKING:
    from collections.abc import Container, Iterator, Sequence
    from random import Random

    from snipebend.routing.candidates import CandidateSet
    from snipebend.routing.prefix_index import PrefixMatch
    from snipebend.routing.scoring import ScoringRules
    from snipebend.routing.upstream_state import UpstreamState

#: Draws for each upstream wanted, before all candidates are looked at.
DRAWS = 3


class Need(NamedTuple):
    """What an attempt needs; ``matches`` are the holders of its prefix."""

    adapter: str
    chain: tuple[int, ...]
    matches: Sequence[PrefixMatch]
    barred: Container[str]


class _Option(NamedTuple):
    score: float
    utilisation: float
    state: UpstreamState
    cached_blocks: int


class Selector:
    """Draws a few candidates and compares them with the prefix's holders."""

    def __init__(
        self, pool: CandidateSet, rules: ScoringRules, now: float, rng: Random
    ) -> None:
        """Keep what one choice is made from."""
        self._pool = pool
        self._rules = rules
        self._now = now
        self._rng = rng

    def choose(self, need: Need) -> Choice | None:
        """Return the best candidate, or None when all are barred."""
        drawn = [
            self._option(state, need, 0) for state in self._draw_tiers(need)
        ]
        if not drawn:
            return None
        least = min(option.utilisation for option in drawn)
        bound = self._rules.guard(least)
        hinted = [
            option
            for option in self._hinted(need)
            if option.utilisation <= bound
        ]
        best = min(drawn + hinted, key=_score)
        view = best.state.view
        return Choice(view.name, view.incarnation, best.cached_blocks)

    def _draw_tiers(self, need: Need) -> Iterator[UpstreamState]:
        tiers = self._pool.tiers(need.adapter)
        yield from self._draw(tiers.local, need.barred)
        yield from self._draw(tiers.remote, need.barred)

    def _draw(
        self, states: Sequence[UpstreamState], barred: Container[str]
    ) -> list[UpstreamState]:
        wanted = self._rules.choices
        if len(states) > max(wanted, self._rules.scan):
            drawn = self._draw_some(states, barred, wanted)
            if drawn:
                return drawn
        return [state for state in states if self._may_take(state, barred)]

    def _draw_some(
        self,
        states: Sequence[UpstreamState],
        barred: Container[str],
        wanted: int,
    ) -> list[UpstreamState]:
        drawn: list[UpstreamState] = []
        for _ in range(DRAWS * wanted):
            state = states[int(self._rng.random() * len(states))]
            if state not in drawn and self._may_take(state, barred):
                drawn.append(state)
            if len(drawn) == wanted:
                break
        return drawn

    def _hinted(self, need: Need) -> Iterator[_Option]:
        for match in need.matches:
            state = self._pool.members.get(match.upstream)
            if state is not None and self._may_take(state, need.barred):
                yield self._option(state, need, match.blocks)

    def _may_take(self, state: UpstreamState, barred: Container[str]) -> bool:
        name = state.view.name
        if name in barred or state.view.phase != 'serving':
            return False
        return self._pool.ejector.standing(name, self._now) != 'out'

    def _option(self, state: UpstreamState, need: Need, blocks: int) -> _Option:
        utilisation = state.utilisation(self._now)
        cached_share = blocks / len(need.chain) if need.chain else 0
        score = self._rules.score(utilisation, cached_share)
        if not self._pool.is_local(state):
            score += self._rules.remote
        return _Option(score, utilisation, state, blocks)


def _score(option: _Option) -> float:
    return option.score
