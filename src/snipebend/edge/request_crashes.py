"""Connects one request to the record of what has ended upstreams."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING

from snipebend.relay.causes import RequestCauses, find_causes, find_shared_parts

if TYPE_CHECKING:
    from snipebend.edge.caller_parser import CompleteRequest
    from snipebend.edge.crash_tracker import CrashTracker
    from snipebend.relay.admission import Admitted
    from snipebend.relay.crash_table import Quarantine
    from snipebend.relay.upstreams import Upstream


class RequestCrashes:
    """Reports the calls of one request, and reads its quarantine."""

    def __init__(
        self, tracker: CrashTracker, req: CompleteRequest, admitted: Admitted
    ) -> None:
        """Keep the request; its causes are found when they are needed."""
        self._tracker = tracker
        self._req = req
        self._admitted = admitted

    @cached_property
    def causes(self) -> RequestCauses:
        """Return what of the request may end an upstream that runs it."""
        return find_causes(
            self._admitted.facts,
            self._admitted.workspace,
            self._req.head.target.decode('latin-1'),
            self._req.body,
        )

    def find_quarantine(self) -> Quarantine | None:
        """Return the request's quarantine, or None if it may run."""
        return (
            self._tracker.find_quarantine(self.causes)
            if self._tracker
            else None
        )

    def record_activity(self) -> None:
        """Record that an upstream goes on with its response."""
        if self._tracker:
            self._tracker.record_activity(self.causes)

    def record_complete_response(self) -> None:
        """Record that an upstream has completed its response."""
        if self._tracker:
            self._tracker.record_complete_response(self.causes)
        else:
            self._tracker.record_served(find_shared_parts(self._admitted.facts))

    async def record_broken_call(
        self, upstream: Upstream, call_started_at: float, events: int
    ) -> None:
        """Record that a call broke after ``events`` events of its response."""
        await self._tracker.record_broken_call(
            upstream, self.causes, call_started_at, events
        )
