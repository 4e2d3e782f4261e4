"""Finds the requests that were running on an upstream when it ended.

Performs no I/O.

A call can break although its upstream goes on: a connection is reset, a
response is lost, or a group of upstreams in lock-step cuts off all its calls
when it loses one of them. A broken call counts only with evidence that the
upstream itself ended, which may arrive before or after the call breaks: its
address refuses connections, another rank of its group names it as lost, or
another incarnation has taken its place. A response to a later call proves that
the upstream outlived the broken one, and so does a connection that it accepts
unless another incarnation is found to have taken its place by then.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from snipebend.relay.causes import RequestCauses

#: Seconds between a broken call and the evidence within which both belong
#: together: an upstream restarts and announces itself within some seconds.
EVIDENCE_WINDOW_S = 10.0

#: Most broken calls that are kept at one address; the oldest is dropped first.
MAX_BROKEN_CALLS = 256


class BrokenCall(NamedTuple):
    """A call that was sent and ended without a complete response."""

    address: str
    #: The incarnation of the upstream at this address.
    incarnation: str
    causes: RequestCauses
    #: Complete events of its response.
    events: int
    #: Monotonic seconds.
    started_at: float
    broken_at: float


class CrashEvidence:
    """Broken calls, and the addresses at which an upstream has ended."""

    def __init__(self) -> None:
        """Create without broken calls."""
        #: By address, in the order in which they broke.
        self._calls: dict[str, list[BrokenCall]] = {}
        self._ended_at: dict[str, float] = {}
        #: When a connection was last accepted after a call broke, by address.
        self._accepted_at: dict[str, float] = {}

    def record_broken_call(self, call: BrokenCall) -> bool:
        """Record a call; return whether its upstream is known to have ended."""
        self._remove_expired(call.broken_at)
        ended_at = self._ended_at.get(call.address)
        if ended_at is not None and call.started_at <= ended_at:
            return True
        calls = [*self._calls.get(call.address, ()), call]
        self._calls[call.address] = calls[-MAX_BROKEN_CALLS:]
        return False

    def knows_end(self, address: str, now: float) -> bool:
        """Return whether an upstream has ended at an address lately."""
        self._remove_expired(now)
        return address in self._ended_at

    def record_accepted_connection(self, address: str, now: float) -> None:
        """Record that something listens where a call has broken."""
        if address in self._calls:
            self._accepted_at[address] = now

    def record_end(self, address: str, now: float) -> list[BrokenCall]:
        """Record that an upstream is down; return the calls it broke.

        Those that broke before it accepted a connection are dropped.
        """
        accepted_at = self._accepted_at.get(address, -math.inf)
        calls = self.record_successor(address, now)
        return [call for call in calls if call.broken_at > accepted_at]

    def record_successor(self, address: str, now: float) -> list[BrokenCall]:
        """Record that an upstream has ended at some time; return its calls."""
        self._remove_expired(now)
        # Keeps the addresses in the order of their ends.
        self._ended_at.pop(address, None)
        self._ended_at[address] = now
        self._accepted_at.pop(address, None)
        return self._calls.pop(address, [])

    def record_response(
        self, address: str, incarnation: str, call_started_at: float
    ) -> list[BrokenCall]:
        """Record a response; return the calls that its upstream outlived.

        They broke before the call of the response began.
        """
        calls = self._calls.get(address)
        if calls is None:
            return []
        outlived = [
            call
            for call in calls
            if call.incarnation == incarnation
            and call.broken_at <= call_started_at
        ]
        if outlived:
            self._calls[address] = [
                call for call in calls if call not in outlived
            ]
        return outlived

    def pending_addresses(self, causes: RequestCauses) -> set[str]:
        """Return where calls with a common cause broke without evidence."""
        keys = set(causes.keys)
        return {
            address
            for address, calls in self._calls.items()
            if any(not keys.isdisjoint(call.causes.keys) for call in calls)
        }

    def _remove_expired(self, now: float) -> None:
        expired_at = now - EVIDENCE_WINDOW_S
        for address, calls in tuple(self._calls.items()):
            kept = [call for call in calls if call.broken_at > expired_at]
            if kept:
                self._calls[address] = kept
            else:
                self._calls.pop(address)
                self._accepted_at.pop(address, None)
        while self._ended_at:
            oldest = next(iter(self._ended_at))
            if self._ended_at[oldest] > expired_at:
                return
            self._ended_at.pop(oldest)
