"""What an entry counts and times of the requests that it passes on."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from opentelemetry.metrics import Observation

from snipebend.telemetry.metrics import get_meter
from snipebend.transport.meters import LATENCY_BUCKETS_S

if TYPE_CHECKING:
    from opentelemetry.metrics import CallbackOptions, Meter

    from snipebend.edge.answer_writer import AnswerWriter
    from snipebend.relay.admission import Admitted


class Standing(NamedTuple):
    """Asked for when the gauges are read."""

    in_work: Callable[[], int]
    document: Callable[[], int]
    #: Seconds since control's last news; -1: none came yet.
    news_age_s: Callable[[], float]
    #: By service.
    retries_left: Callable[[], dict[str, float]]
    #: Numbers of upstreams by their standing.
    upstreams: Callable[[], dict[str, int]]


class RelayMeters:
    """The counters and histograms of one entry."""

    def __init__(self, standing: Standing) -> None:
        """Make the instruments; gauges ask when they are read."""
        meter = get_meter()
        self._standing = standing
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
        self._handed_on = meter.create_histogram(
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
        self._declined = meter.create_counter(
            'snipebend_relay_upstreams_declined',
            description='answers by which an upstream asked for no more work',
        )
        self._make_gauges(meter)

    def _make_gauges(self, meter: Meter) -> None:
        standing = self._standing
        single = {
            'snipebend_relay_requests_in_flight': standing.in_work,
            'snipebend_relay_document_number': standing.document,
            'snipebend_relay_news_age_seconds': standing.news_age_s,
        }
        for name, ask in single.items():
            meter.create_observable_gauge(name, [partial(_observe, ask)])
        meter.create_observable_gauge(
            'snipebend_relay_retries_left',
            [partial(_observe_all, 'service', standing.retries_left)],
        )
        meter.create_observable_gauge(
            'snipebend_relay_upstreams',
            [partial(_observe_all, 'state', standing.upstreams)],
        )

    def refused(self, status: int, reason: str) -> None:
        """Count an own answer."""
        self._refusals.add(1, {'status': str(status), 'reason': reason})

    def limit_changed(self, *, in_force: bool) -> None:
        """Count a limit that an upstream names, changes or ends."""
        self._limits.add(1, {'in_force': str(in_force).lower()})

    def diverted(self, service: str) -> None:
        """Count a call that a limit kept from an upstream."""
        self._diverted.add(1, {'service': service})

    def declined(self, service: str, reason: str) -> None:
        """Count an upstream that asks for a rest, or says that it leaves."""
        self._declined.add(1, {'service': service, 'reason': reason})

    def paused(self, seconds: float) -> None:
        """Note the time between two pieces of a stream."""
        self._pauses.record(seconds)

    def handed_on(self, seconds: float) -> None:
        """Note how long a request was here before its first call."""
        self._handed_on.record(seconds)

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


def _observe(
    ask: Callable[[], float], options: CallbackOptions
) -> Iterable[Observation]:
    return (Observation(ask()),)


def _observe_all(
    label: str,
    ask: Callable[[], Mapping[str, float]],
    options: CallbackOptions,
) -> Iterable[Observation]:
    return [
        Observation(number, {label: name}) for name, number in ask().items()
    ]
