"""What the phases of one request's life share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery.caller_side import CallerSide
from snipebend.delivery.outcomes import Outcome
from snipebend.delivery.phases import Ended, Idle
from snipebend.delivery.stream import BodyCopy, ChunkSequencer

if TYPE_CHECKING:
    from random import Random

    from snipebend.delivery.actions import RelayHead
    from snipebend.delivery.facts import RequestFacts
    from snipebend.delivery.limits import DeliveryLimits
    from snipebend.delivery.phases import Phase


class Proof:
    """What is proved so far about the request not having run."""

    def __init__(self, *, needs_claim: bool) -> None:
        """Prove nothing about a key that wasn't looked up."""
        #: An earlier sending of the same key may have run.
        self.key_in_doubt = needs_claim
        #: One of our own attempts may have run.
        self.attempt_in_doubt = False

    @property
    def outcome(self) -> Outcome:
        """Return the outcome of a request that is given up between attempts."""
        if self.key_in_doubt or self.attempt_in_doubt:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN


class IncomingAnswer:
    """The answer of the current attempt: head, order and a copy of chunks."""

    def __init__(self, limits: DeliveryLimits, next_seq: int) -> None:
        """Expect the chunk ``next_seq`` first."""
        self.head: RelayHead | None = None
        self.body = BodyCopy(limits.max_stored_bytes)
        self.chunks = ChunkSequencer(
            next_seq,
            max_chunks=limits.max_ahead_chunks,
            max_bytes=limits.max_ahead_bytes,
        )


class Life:
    """One request: its facts, its phase, and the answer under way."""

    def __init__(self, facts: RequestFacts, limits: DeliveryLimits) -> None:
        """Start with a request that nothing was done for."""
        self.facts = facts
        self.limits = limits
        self.phase: Phase = Idle()
        self.caller = CallerSide()
        self.proof = Proof(needs_claim=facts.is_claimed)
        self.last_attempt = 0
        self.holders_asked = 0
        self.excluded: frozenset[str] = frozenset()
        self.now = float('-inf')
        self.answer = IncomingAnswer(limits, 0)

    @property
    def is_claimed(self) -> bool:
        """Tell whether attempts need a claim."""
        return self.facts.is_claimed

    def begin(self, now: float, rng: Random) -> None:
        """Note the time and the source of randomness of one step."""
        self.now = now
        self.rng = rng

    def jittered(self, seconds: float) -> float:
        """Return up to half as much again, so that callers spread out."""
        return seconds * (1 + self.rng.random() / 2)

    def next_attempt(self) -> int:
        """Return the number of a new attempt."""
        self.last_attempt += 1
        return self.last_attempt

    def expect_rest(self) -> None:
        """Expect the answer of a new attempt, from its first missing chunk."""
        next_seq = self.answer.chunks.next_seq
        self.answer = IncomingAnswer(self.limits, next_seq)

    def end(self) -> None:
        """Await nothing more."""
        self.phase = Ended()
