"""Metrics of the requests that an entry forwards."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from opentelemetry.metrics import Observation

from snipebend.telemetry.metrics import get_meter
from snipebend.transport.meters import LATENCY_BUCKETS_S

if TYPE_CHECKING:
    from opentelemetry.metrics import CallbackOptions, Meter

    from snipebend.edge.response_writer import ResponseWriter
    from snipebend.relay.admission import Admitted
    from snipebend.transport.body_framing import BodyFraming


class GaugeSources(NamedTuple):
    """Functions that are called when the gauges are read."""

    requests_in_progress: Callable[[], int]
    document_number: Callable[[], int]
    #: Seconds since the last update from control; -1: none yet.
    update_age_s: Callable[[], float]
    #: By service.
    retries_left: Callable[[], dict[str, float]]
    #: Number of upstreams by status.
    upstreams: Callable[[], dict[str, int]]
    #: Bytes that are held for callers, as far as they are counted.
    held_bytes: Callable[[], int]


class RelayMeters:
    """The counters and histograms of one entry."""

    def __init__(self, sources: GaugeSources) -> None:
        """Create the instruments."""
        meter = get_meter()
        self._sources = sources
        self._crashes = meter.create_counter(
            'snipebend_relay_crashes',
            description='ends of upstreams, once for each request under them',
        )
        self._requests = meter.create_counter(
            'snipebend_relay_requests',
            description="callers' requests by kind and status",
        )
        self._calls = meter.create_counter(
            'snipebend_relay_calls',
            description='calls of upstreams by service and ending',
        )
        self._responses = meter.create_counter(
            'snipebend_relay_responses',
            description='responses of upstreams by framing and ending',
        )
        self._retries_granted = meter.create_counter(
            'snipebend_relay_retries_granted',
            description='retries taken from the budget, by service',
        )
        self._retries_refused = meter.create_counter(
            'snipebend_relay_retries_refused',
            description='retries that the budget forbade, by service',
        )
        self._first_byte_seconds = meter.create_histogram(
            'snipebend_relay_first_piece_seconds',
            unit='s',
            description='from a request to the first piece of its answer',
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self._request_seconds = meter.create_histogram(
            'snipebend_relay_request_seconds',
            unit='s',
            description='from a request to the end of its answer',
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self._refusals = meter.create_counter(
            'snipebend_relay_refusals',
            description='own answers by status and reason',
        )
        self._pauses = meter.create_histogram(
            'snipebend_relay_pause_seconds',
            unit='s',
            description='between two pieces of one stream',
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self._forwarding_delays = meter.create_histogram(
            'snipebend_relay_hand_on_seconds',
            unit='s',
            description='from a whole request to its first call of an upstream',
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self._limits = meter.create_counter(
            'snipebend_relay_limits',
            description="changes of upstreams' limits of requests a second",
        )
        self._diverted = meter.create_counter(
            'snipebend_relay_calls_diverted',
            description='calls that a limit kept from an upstream, by service',
        )
        self._cold_calls = meter.create_counter(
            'snipebend_relay_cold_calls',
            description='calls of upstreams that may be cold, by service',
        )
        self._cold_diversions = meter.create_counter(
            'snipebend_relay_cold_calls_diverted',
            description='calls that a cold upstream could not take, by service',
        )
        self._declined = meter.create_counter(
            'snipebend_relay_upstreams_declined',
            description='answers by which an upstream asked for no more work',
        )
        self._late_refusals = meter.create_counter(
            'snipebend_relay_late_refusals',
            description='own answers after an eighth of the target, by cause',
        )
        self._let_go = meter.create_counter(
            'snipebend_relay_callers_let_go',
            description='callers that were cut off because they read nothing',
        )
        self._evacuated = meter.create_counter(
            'snipebend_relay_calls_evacuated',
            description='calls sent to evacuated data centres, must be 0',
        )
        self._admissions = meter.create_counter(
            'snipebend_relay_admissions',
            description='requests that had to wait, or were refused for room',
        )
        self._admission_waits = meter.create_histogram(
            'snipebend_relay_admission_wait_seconds',
            unit='s',
            description='from a request to its upstream or its refusal',
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self._make_gauges(meter)

    def _make_gauges(self, meter: Meter) -> None:
        sources = self._sources
        single = {
            'snipebend_relay_requests_in_flight': sources.requests_in_progress,
            'snipebend_relay_document_number': sources.document_number,
            'snipebend_relay_news_age_seconds': sources.update_age_s,
            'snipebend_relay_held_bytes': sources.held_bytes,
        }
        for name, read in single.items():
            meter.create_observable_gauge(name, [partial(_observe, read)])
        meter.create_observable_gauge(
            'snipebend_relay_retries_left',
            [partial(_observe_all, 'service', sources.retries_left)],
        )
        meter.create_observable_gauge(
            'snipebend_relay_upstreams',
            [partial(_observe_all, 'state', sources.upstreams)],
        )

    def count_refusal(self, status: int, reason: str) -> None:
        """Count an error response of the entry."""
        self._refusals.add(1, {'status': str(status), 'reason': reason})

    def count_limit_change(self, *, in_force: bool) -> None:
        """Count a limit that an upstream announces, changes or lifts."""
        self._limits.add(1, {'in_force': str(in_force).lower()})

    def count_diverted_call(self, service: str) -> None:
        """Count a call that a limit diverted from an upstream."""
        self._diverted.add(1, _by_service(service))

    def count_cold_call(self, service: str) -> None:
        """Count a call of an upstream that may be cold."""
        self._cold_calls.add(1, _by_service(service))

    def count_cold_diversion(self, service: str) -> None:
        """Count a call that the limit of a cold upstream diverted."""
        self._cold_diversions.add(1, _by_service(service))

    def count_declining_upstream(self, service: str, reason: str) -> None:
        """Count an upstream that requests a backoff or shuts down."""
        self._declined.add(1, {'service': service, 'reason': reason})

    def count_evacuated_call(self, service: str) -> None:
        """Count a call sent to an evacuated data centre."""
        self._evacuated.add(1, {'service': service})

    def count_crash(self) -> None:
        """Count the end of an upstream under a request."""
        self._crashes.add(1)

    def count_late_refusal(self, status: int, cause: str) -> None:
        """Count an error response that came too late for its caller."""
        self._late_refusals.add(1, {'status': str(status), 'cause': cause})

    def count_let_go(self) -> None:
        """Count a caller that was cut off because it read nothing."""
        self._let_go.add(1)

    def record_admission(
        self, admitted: Admitted, outcome: str, waited_s: float
    ) -> None:
        """Count a request that waited for room or was refused for it."""
        labels = {'priority': str(admitted.priority), 'outcome': outcome}
        self._admission_waits.record(waited_s, labels)
        workspace = {'workspace': admitted.workspace}
        self._admissions.add(1, labels | workspace)

    def record_pause(self, seconds: float) -> None:
        """Record the time between two pieces of a stream."""
        self._pauses.record(seconds)

    def record_forwarding_delay(self, seconds: float) -> None:
        """Record the time from a request's arrival to its first call."""
        self._forwarding_delays.record(seconds)

    def count_call(
        self, service: str, ending: str, framing: BodyFraming | None
    ) -> None:
        """Count a call that has ended; ``framing`` is None before a head."""
        self._calls.add(1, {'service': service, 'ending': ending})
        if framing is not None:
            self._responses.add(1, {'framing': framing.value, 'ending': ending})

    def count_retry(self, service: str, *, granted: bool) -> None:
        """Count a retry that the budget allows or denies."""
        counter = self._retries_granted if granted else self._retries_refused
        counter.add(1, _by_service(service))

    def record_request(
        self, admitted: Admitted, response: ResponseWriter, now: float
    ) -> None:
        """Count a request, and record its duration."""
        kind = admitted.route.kind.value
        labels = {'kind': kind, 'status': str(response.status)}
        self._requests.add(1, labels)
        self._request_seconds.record(now - admitted.began_at, {'kind': kind})
        if response.first_byte_at is not None:
            self._first_byte_seconds.record(
                response.first_byte_at - admitted.began_at, {'kind': kind}
            )


def _by_service(service: str) -> dict[str, str]:
    return {'service': service}


def _observe(
    read: Callable[[], float], options: CallbackOptions
) -> Iterable[Observation]:
    return (Observation(read()),)


def _observe_all(
    label: str,
    read: Callable[[], Mapping[str, float]],
    options: CallbackOptions,
) -> Iterable[Observation]:
    return [
        Observation(number, {label: name}) for name, number in read().items()
    ]
