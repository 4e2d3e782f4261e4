"""OpenTelemetry metrics, exported by the scraping endpoint of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter


def set_up_metrics(process_name: str) -> None:
    """Export all meters of this process at the scraping endpoint."""
    resource = Resource.create({'service.name': process_name})
    reader = PrometheusMetricReader()
    metrics.set_meter_provider(
        MeterProvider(metric_readers=[reader], resource=resource),
    )


def get_meter() -> Meter:
    """Return the project's meter."""
    return metrics.get_meter('snipebend')
