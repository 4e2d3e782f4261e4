"""Gives each request an upstream at once, as long as one can queue it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.edge.admission_desk import Inquiry
    from snipebend.edge.upstream_chooser import UpstreamChooser
    from snipebend.relay.admission import Admitted
    from snipebend.relay.upstream_selection import NoCapacity
    from snipebend.relay.upstreams import Upstream


class OpenDesk:
    """Stands in for `AdmissionDesk` where admission by room is off."""

    def __init__(self, chooser: UpstreamChooser) -> None:
        """Keep the chooser."""
        self._chooser = chooser

    async def acquire(self, inquiry: Inquiry) -> Upstream | NoCapacity | None:
        """Return an upstream, or None: none has capacity."""
        upstream = self._chooser.select(inquiry.admitted, inquiry.tried)
        if upstream is not None:
            self._chooser.record_call(upstream)
        return upstream

    def record_first_event(self, admitted: Admitted, seconds: float) -> None:
        """Ignore the time to a first event."""

    def begin_call(self, admitted: Admitted) -> None:
        """Ignore a call that begins."""

    def end_call(
        self,
        admitted: Admitted,
        upstream: Upstream,
        held_s: float,
        *,
        is_answered: bool = True,
    ) -> None:
        """Ignore a call that has ended."""

    def waiting(self) -> dict[str, dict[int, int]]:
        """Return nothing: no request waits."""
        return {}

    def apply_waiting(
        self, entry: str, waiting: dict[str, dict[int, int]]
    ) -> None:
        """Ignore what waits at another entry."""

    def dump(self) -> Mapping[str, object]:
        """Return nothing."""
        return {}
