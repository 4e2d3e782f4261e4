"""The log line and the figures of one request at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

if TYPE_CHECKING:
    from snipebend.delivery.facts import RequestFacts
    from snipebend.delivery.outcomes import Outcome
    from snipebend.kernel.clock import Clock
    from snipebend.transport.delivery_driver import Delivery
    from snipebend.transport.meters import EntryMeters

_CUT = 'cut'


class RequestLabel(NamedTuple):
    """What names a request in the log: the caller's id, path, workspace."""

    correlation_id: str
    path: str
    workspace: str


class RequestRecord:
    """Collects how a request goes and reports it once."""

    def __init__(
        self,
        label: RequestLabel,
        facts: RequestFacts,
        clock: Clock,
        meters: EntryMeters,
    ) -> None:
        """Begin to count."""
        self.facts = facts
        self.closed = False
        self._label = label
        self._clock = clock
        self._meters = meters
        self._started_at = clock.now()
        self._status = 0
        self._outcome = _CUT
        self._passed = False
        meters.begin()

    def began(self, status: int) -> None:
        """Note the status that the caller gets."""
        self._status = status

    def passed_chunk(self) -> None:
        """Note the first piece of the body."""
        if not self._passed:
            self._passed = True
            self._meters.first_chunk(self._clock.now() - self._started_at)

    def ended(self, outcome: Outcome, status: int = 0) -> None:
        """Note what the caller was told."""
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
