"""The result of one call of an upstream that completed no response."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.relay.call_outcomes import CallOutcome

if TYPE_CHECKING:
    from snipebend.edge.call import CompleteResponse
    from snipebend.transport.body_framing import BodyFraming


class CallResult(NamedTuple):
    """The result of a call, with the complete response if it failed."""

    outcome: CallOutcome
    reason: str
    response: CompleteResponse | None = None
    #: Whether the upstream failed, rather than being full.
    faulty: bool = False
    #: Whether nothing was sent because the upstream wants no work.
    declined: bool = False
    #: Whether this entry ended a stream to resume it at another upstream, and
    #: has spent a retry for that.
    moved: bool = False

    @property
    def ending(self) -> str:
        """Return how the call ended, for logs and metrics."""
        return 'moved' if self.moved else self.outcome.value


def unknown_outcome(reason: str) -> CallResult:
    """Return the result of a call that may have run, for this reason."""
    return CallResult(CallOutcome.UNKNOWN, reason, faulty=True)


class BodyEnd(NamedTuple):
    """How the responses of a request's calls ended."""

    #: Of the last call; None if it got no response.
    framing: BodyFraming | None
    #: Complete events that the caller has received.
    events: int
    #: Bytes of the last stream after its last complete event.
    partial_bytes: int
