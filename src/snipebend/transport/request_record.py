"""Records the log line and the metrics of one request at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

if TYPE_CHECKING:
    from snipebend.delivery.facts import RequestFacts
    from snipebend.delivery.outcomes import Outcome
    from snipebend.kernel.clock import Clock
    from snipebend.transport.delivery_driver import Delivery
    from snipebend.transport.meters import EntryMeters

_INTERRUPTED = 'cut'


class RequestLabel(NamedTuple):
    """Labels of a request in the log: its caller's id, path, workspace."""

    correlation_id: str
    path: str
    workspace: str


class RequestRecord:
    """Collects the progress of a request and reports it once."""

    def __init__(
        self,
        label: RequestLabel,
        facts: RequestFacts,
        clock: Clock,
        meters: EntryMeters,
    ) -> None:
        """Initialize and count the request as in flight."""
        self.facts = facts
        self.closed = False
        self._label = label
        self._clock = clock
        self._meters = meters
        self._started_at = clock.now()
        self._status = 0
        self._outcome = _INTERRUPTED
        self._has_first_chunk = False
        meters.begin()

    def record_status(self, status: int) -> None:
        """Record the status sent to the caller."""
        self._status = status

    def record_chunk(self) -> None:
        """Record a chunk of the body; the first one is timed."""
        if not self._has_first_chunk:
            self._has_first_chunk = True
            self._meters.record_first_chunk(
                self._clock.now() - self._started_at
            )

    def record_outcome(self, outcome: Outcome, status: int = 0) -> None:
        """Record the outcome reported to the caller."""
        self._outcome = outcome.value
        self._status = status or self._status

    def report(self, delivery: Delivery) -> None:
        """Count and log the request."""
        self._meters.end(self._outcome, delivery.chunks)
        logger.info(
            'event=request request={} id={} workspace={} path={} status={} '
            + 'outcome={} attempts={} peer={} chunks={} seconds={:.4f}',
            self._label.correlation_id,
            self.facts.request_id,
            self._label.workspace,
            self._label.path,
            self._status,
            self._outcome,
            delivery.io.attempts,
            delivery.io.peer or '-',
            delivery.chunks,
            self._clock.now() - self._started_at,
        )
