"""What an entry counts and times of the requests that it passes on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry.metrics import Observation

from snipebend.telemetry.metrics import get_meter
from snipebend.transport.meters import LATENCY_BUCKETS_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from snipebend.edge.answer_writer import AnswerWriter
    from snipebend.relay.admitting import Admitted


class RelayMeters:
    """The counters and histograms of one entry."""

    def __init__(
        self, in_work: Callable[[], int], document: Callable[[], int]
    ) -> None:
        """Make the instruments; gauges ask when they are read."""
        meter = get_meter()
        self._requests = meter.create_counter(
            'snipebend_relay_requests',
            description="callers' requests by kind and status",
        )
        self._calls = meter.create_counter(
            'snipebend_relay_calls',
            description='calls of upstreams by service and ending',
        )
        self._retries = meter.create_counter(
            'snipebend_relay_retries_refused',
            description='retries that the budget forbade, by service',
        )
        self._first = meter.create_histogram(
            'snipebend_relay_first_piece_seconds',
            unit='s',
            description='from a request to the first piece of its answer',
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self._whole = meter.create_histogram(
            'snipebend_relay_request_seconds',
            unit='s',
            description='from a request to the end of its answer',
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        meter.create_observable_gauge(
            'snipebend_relay_requests_in_flight',
            [lambda _: (Observation(in_work()),)],
        )
        meter.create_observable_gauge(
            'snipebend_relay_document_number',
            [lambda _: (Observation(document()),)],
        )

    def call_ended(self, service: str, ending: str) -> None:
        """Count the end of a call."""
        self._calls.add(1, {'service': service, 'ending': ending})

    def retry_refused(self, service: str) -> None:
        """Count a retry without budget."""
        self._retries.add(1, {'service': service})

    def request_ended(
        self, admitted: Admitted, answer: AnswerWriter, now: float
    ) -> None:
        """Count a request, and note how long it took."""
        kind = admitted.route.kind.value
        labels = {'kind': kind, 'status': str(answer.status)}
        self._requests.add(1, labels)
        self._whole.record(now - admitted.began_at, {'kind': kind})
        if answer.first_at is not None:
            self._first.record(
                answer.first_at - admitted.began_at, {'kind': kind}
            )
