"""The attempts in flight: which incarnation of which upstream has them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from snipebend.routing.upstream_state import UpstreamState


class AttemptBook:
    """Attempts by ticket and upstream; each is counted where it started.

    An upstream that came back under a new incarnation isn't relieved by the
    end of an attempt of the old one.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._open: dict[int, dict[str, UpstreamState]] = {}

    def open(self, number: int, state: UpstreamState, now: float) -> None:
        """Count an attempt; a repeated call counts once."""
        attempts = self._open.setdefault(number, {})
        if attempts.get(state.view.name) is state:
            return
        attempts[state.view.name] = state
        state.own.change(1, now)

    def close(
        self, number: int, upstream: str, now: float
    ) -> UpstreamState | None:
        """End an attempt; return its upstream if the attempt was open."""
        state = self._open.get(number, {}).pop(upstream, None)
        if state is not None:
            state.own.change(-1, now)
        return state

    def close_all(self, number: int, now: float) -> None:
        """End all attempts of a ticket."""
        for state in self._open.pop(number, {}).values():
            state.own.change(-1, now)
