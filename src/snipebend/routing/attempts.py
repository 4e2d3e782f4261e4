"""Tracks in-flight attempts and the upstream incarnation that runs each."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from snipebend.routing.upstream_state import UpstreamState


class AttemptTracker:
    """In-flight attempts by ticket and upstream.

    Each attempt counts against the incarnation that it started on: when it
    ends, the count of a newer incarnation of the upstream does not change.
    """

    def __init__(self) -> None:
        """Create a tracker without attempts."""
        self._open: dict[int, dict[str, UpstreamState]] = {}

    def open(
        self, ticket_number: int, state: UpstreamState, now: float
    ) -> None:
        """Count an attempt; repeated calls for the same attempt count once."""
        attempts = self._open.setdefault(ticket_number, {})
        if attempts.get(state.view.name) is state:
            return
        attempts[state.view.name] = state
        state.outstanding.change(1, now)

    def close(
        self, ticket_number: int, upstream: str, now: float
    ) -> UpstreamState | None:
        """End an attempt; return its upstream state, or None if not open."""
        state = self._open.get(ticket_number, {}).pop(upstream, None)
        if state is not None:
            state.outstanding.change(-1, now)
        return state

    def close_all(self, ticket_number: int, now: float) -> None:
        """End all open attempts of a ticket."""
        for state in self._open.pop(ticket_number, {}).values():
            state.outstanding.change(-1, now)
