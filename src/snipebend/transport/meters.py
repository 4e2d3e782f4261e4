"""The counters and histograms of entries and agents."""

from __future__ import annotations

from opentelemetry.metrics import Observation

from snipebend.telemetry.metrics import get_meter

#: Seconds at the upper ends of the latency histogram's buckets.
LATENCY_BUCKETS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)


class EntryMeters:
    """Metrics of callers' requests at an entry."""

    def __init__(self) -> None:
        """Create the instruments."""
        meter = get_meter()
        self._requests = meter.create_counter(
            'snipebend_requests',
            description="callers' requests by status class and outcome",
        )
        self._chunks = meter.create_counter(
            'snipebend_chunks',
            description='pieces of answers passed on to callers',
        )
        self._in_flight = 0
        meter.create_observable_gauge(
            'snipebend_requests_in_flight',
            [lambda _: (Observation(self._in_flight),)],
        )
        self._first_chunk = meter.create_histogram(
            'snipebend_first_chunk_seconds',
            unit='s',
            description='from the request to the first piece of its answer',
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )

    def begin(self) -> None:
        """Count a request as in flight."""
        self._in_flight += 1

    def record_first_chunk(self, seconds: float) -> None:
        """Record the time to the first chunk of a response."""
        self._first_chunk.record(seconds)

    def end(self, outcome: str, chunks: int) -> None:
        """Count a finished request."""
        self._in_flight -= 1
        self._requests.add(1, {'outcome': outcome})
        if chunks:
            self._chunks.add(chunks)

    def record_refusal(self, status: int) -> None:
        """Count a request that was refused before it was routed."""
        self._requests.add(1, {'outcome': 'not-run', 'status': str(status)})


class AgentMeters:
    """Metrics of the attempts at an agent."""

    def __init__(self) -> None:
        """Create the instruments."""
        meter = get_meter()
        self._attempts = meter.create_counter('snipebend_attempts')
        self._chunks = meter.create_counter('snipebend_upstream_chunks')
        self._running = 0
        meter.create_observable_gauge(
            'snipebend_attempts_running',
            [lambda _: (Observation(self._running),)],
        )

    def begin(self) -> None:
        """Count an attempt as running."""
        self._running += 1

    def end(self, outcome: str, chunks: int) -> None:
        """Count a finished attempt."""
        self._running -= 1
        self._attempts.add(1, {'ending': outcome})
        if chunks:
            self._chunks.add(chunks)
