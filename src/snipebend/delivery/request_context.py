"""The state that all phases of one request share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.delivery.caller_response import CallerResponse
from snipebend.delivery.outcomes import Outcome
from snipebend.delivery.phases import Ended, Idle
from snipebend.delivery.stream import BodyCopy, ChunkSequencer

if TYPE_CHECKING:
    from random import Random

    from snipebend.delivery.actions import RelayHead
    from snipebend.delivery.facts import RequestFacts
    from snipebend.delivery.limits import DeliveryLimits
    from snipebend.delivery.phases import Phase


class NotRunProof:
    """Tracks whether it is proved that the request has not run."""

    def __init__(self, *, needs_claim: bool) -> None:
        """Create the state of a request without attempts.

        With ``needs_claim``, the request has a key that was not looked up yet,
        so an earlier request with that key may have run.
        """
        #: An earlier request with the same key may have run.
        self.key_may_have_run = needs_claim
        #: An attempt of this request may have run.
        self.attempt_may_have_run = False

    @property
    def outcome(self) -> Outcome:
        """Return the outcome of a request that ends between attempts."""
        if self.key_may_have_run or self.attempt_may_have_run:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN


class IncomingResponse:
    """The response of the current attempt: head, ordered chunks and a copy."""

    def __init__(self, limits: DeliveryLimits, next_seq: int) -> None:
        """Create a response whose first chunk is ``next_seq``."""
        self.head: RelayHead | None = None
        self.body = BodyCopy(limits.max_stored_bytes)
        self.chunks = ChunkSequencer(
            next_seq,
            max_chunks=limits.max_ahead_chunks,
            max_bytes=limits.max_ahead_bytes,
        )


class RequestContext:
    """One request: its attributes, its phase and its current response."""

    def __init__(self, facts: RequestFacts, limits: DeliveryLimits) -> None:
        """Create the context of a request that has just arrived."""
        self.facts = facts
        self.limits = limits
        self.phase: Phase = Idle()
        self.caller = CallerResponse()
        self.proof = NotRunProof(needs_claim=facts.is_claimed)
        self.last_attempt = 0
        self.holders_queried = 0
        self.excluded: frozenset[str] = frozenset()
        self.now = float('-inf')
        self.response = IncomingResponse(limits, 0)

    @property
    def is_claimed(self) -> bool:
        """Return whether attempts require a claim."""
        return self.facts.is_claimed

    def begin_step(self, now: float, rng: Random) -> None:
        """Set the time and the random source of one step."""
        self.now = now
        self.rng = rng

    def with_jitter(self, seconds: float) -> float:
        """Return the delay plus up to a half, to spread callers' retries."""
        return seconds * (1 + self.rng.random() / 2)

    def next_attempt(self) -> int:
        """Return the number of a new attempt."""
        self.last_attempt += 1
        return self.last_attempt

    def expect_remaining_chunks(self) -> None:
        """Expect a new attempt's response from the first missing chunk."""
        next_seq = self.response.chunks.next_seq
        self.response = IncomingResponse(self.limits, next_seq)

    def end(self) -> None:
        """Enter the final phase, in which nothing is awaited."""
        self.phase = Ended()
