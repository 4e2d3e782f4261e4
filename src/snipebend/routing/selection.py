"""Selects one upstream among the candidates of a pool."""

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

#: Random samples per upstream wanted; if none of them is eligible, all
#: candidates are compared.
SAMPLES_PER_CHOICE = 3


class Requirements(NamedTuple):
    """Requirements of an attempt.

    ``matches`` lists the upstreams that hold a prefix of its prompt.
    """

    adapter: str
    chain: tuple[int, ...]
    matches: Sequence[PrefixMatch]
    excluded: Container[str]


class _ScoredCandidate(NamedTuple):
    score: float
    utilisation: float
    state: UpstreamState
    cached_blocks: int


class Selector:
    """Compares a random sample of the candidates with the prefix holders."""

    def __init__(
        self, pool: CandidateSet, rules: ScoringRules, now: float, rng: Random
    ) -> None:
        """Create a selector for one choice at ``now``."""
        self._pool = pool
        self._rules = rules
        self._now = now
        self._rng = rng

    def choose(self, requirements: Requirements) -> Choice | None:
        """Return the best candidate, or None if none is eligible."""
        sampled = [
            self._score_candidate(state, requirements, 0)
            for state in self._sample_tiers(requirements)
        ]
        if not sampled:
            return None
        least = min(candidate.utilisation for candidate in sampled)
        bound = self._rules.load_bound(least)
        holders = [
            candidate
            for candidate in self._prefix_holders(requirements)
            if candidate.utilisation <= bound
        ]
        best = min(sampled + holders, key=_score)
        view = best.state.view
        return Choice(view.name, view.incarnation, best.cached_blocks)

    def _sample_tiers(
        self, requirements: Requirements
    ) -> Iterator[UpstreamState]:
        tiers = self._pool.tiers(requirements.adapter)
        yield from self._sample(tiers.local, requirements.excluded)
        yield from self._sample(tiers.remote, requirements.excluded)

    def _sample(
        self, states: Sequence[UpstreamState], excluded: Container[str]
    ) -> list[UpstreamState]:
        wanted = self._rules.choices
        if len(states) > max(wanted, self._rules.scan):
            sampled = self._sample_some(states, excluded, wanted)
            if sampled:
                return sampled
        return [state for state in states if self._is_eligible(state, excluded)]

    def _sample_some(
        self,
        states: Sequence[UpstreamState],
        excluded: Container[str],
        wanted: int,
    ) -> list[UpstreamState]:
        sampled: list[UpstreamState] = []
        for _ in range(SAMPLES_PER_CHOICE * wanted):
            state = states[int(self._rng.random() * len(states))]
            if state not in sampled and self._is_eligible(state, excluded):
                sampled.append(state)
            if len(sampled) == wanted:
                break
        return sampled

    def _prefix_holders(
        self, requirements: Requirements
    ) -> Iterator[_ScoredCandidate]:
        for match in requirements.matches:
            state = self._pool.members.get(match.upstream)
            if state is not None and self._is_eligible(
                state, requirements.excluded
            ):
                yield self._score_candidate(state, requirements, match.blocks)

    def _is_eligible(
        self, state: UpstreamState, excluded: Container[str]
    ) -> bool:
        name = state.view.name
        if name in excluded or state.view.phase != 'serving':
            return False
        return self._pool.ejector.status(name, self._now) != 'out'

    def _score_candidate(
        self, state: UpstreamState, requirements: Requirements, blocks: int
    ) -> _ScoredCandidate:
        utilisation = state.utilisation(self._now)
        cached_share = (
            blocks / len(requirements.chain) if requirements.chain else 0
        )
        score = self._rules.score(utilisation, cached_share)
        if not self._pool.is_local(state):
            score += self._rules.remote
        return _ScoredCandidate(score, utilisation, state, blocks)


def _score(candidate: _ScoredCandidate) -> float:
    return candidate.score
