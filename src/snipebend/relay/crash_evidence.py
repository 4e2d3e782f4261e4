"""Finds the requests that were running on an upstream when it ended.

Performs no I/O.

A call can break although its upstream goes on: a connection is reset, or a
response is lost. It counts only with evidence that the upstream itself ended,
which may arrive before or after the call breaks: its address refuses
connections, another rank of its group names it as lost, or another incarnation
has taken its place.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.relay.causes import RequestCauses

#: Seconds between a broken call and the evidence within which both belong
#: together: an upstream restarts and announces itself within some seconds.
EVIDENCE_WINDOW_S = 10.0

#: Most broken calls that are kept; the oldest is dropped first.
MAX_BROKEN_CALLS = 4096


class BrokenCall(NamedTuple):
    """A call that was sent and ended without a complete response."""

    address: str
    #: The incarnation of the upstream at this address.
    incarnation: str
    causes: RequestCauses
    #: Events that the caller had received.
    events: int
    #: Monotonic seconds.
    started_at: float
    broken_at: float


class CrashEvidence:
    """Broken calls, and the addresses at which an upstream has ended."""

    def __init__(self) -> None:
        """Create without broken calls."""
        self._calls: deque[BrokenCall] = deque(maxlen=MAX_BROKEN_CALLS)
        self._ended_at: dict[str, float] = {}

    def record_broken_call(self, call: BrokenCall) -> bool:
        """Record a call; return whether its upstream is known to have ended."""
        self._remove_expired(call.broken_at)
        ended_at = self._ended_at.get(call.address)
        if ended_at is not None and call.started_at <= ended_at:
            return True
        self._calls.append(call)
        return False

    def knows_end(self, address: str, now: float) -> bool:
        """Return whether an upstream has ended at an address lately."""
        self._remove_expired(now)
        return address in self._ended_at

    def record_end(self, address: str, now: float) -> list[BrokenCall]:
        """Record that an upstream has ended; return the calls it broke."""
        self._remove_expired(now)
        # Keeps the addresses in the order of their ends.
        self._ended_at.pop(address, None)
        self._ended_at[address] = now
        ended = [call for call in self._calls if call.address == address]
        for call in ended:
            self._calls.remove(call)
        return ended

    def pending_addresses(self, fingerprint: str) -> set[str]:
        """Return where calls of a request broke without evidence of an end."""
        return {
            call.address
            for call in self._calls
            if call.causes.fingerprint == fingerprint
        }

    def _remove_expired(self, now: float) -> None:
        expired_at = now - EVIDENCE_WINDOW_S
        while self._calls and self._calls[0].broken_at <= expired_at:
            self._calls.popleft()
        while self._ended_at:
            oldest = next(iter(self._ended_at))
            if self._ended_at[oldest] > expired_at:
                return
            self._ended_at.pop(oldest)
