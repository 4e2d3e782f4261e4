"""Metrics of a control leader for expert maps."""

from __future__ import annotations

from snipebend.telemetry.metrics import get_meter
from snipebend.transport.meters import LATENCY_BUCKETS_S


class BalancerMeters:
    """Metrics of the orders and switches run by one control daemon."""

    def __init__(self) -> None:
        """Create the instruments."""
        meter = get_meter()
        self._orders = meter.create_counter(
            'snipebend_engine_orders',
            description='orders to engines by kind and reply',
        )
        self._switches = meter.create_histogram(
            'snipebend_map_switch_seconds',
            unit='s',
            description='switches of expert maps by how they ended',
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )
        self._kept = meter.create_counter(
            'snipebend_maps_kept',
            description='looks that left a map as it is, by reason',
        )
        self._readings = meter.create_counter(
            'snipebend_count_readings',
            description='readings of counts, by what they were for',
        )
        self._skew = meter.create_gauge(
            'snipebend_map_skew',
            description='load of the fullest rank over the mean, at a plan',
        )

    def order_ended(self, kind: str, reply: str) -> None:
        """Count an order by kind and reply."""
        self._orders.add(1, {'kind': kind, 'reply': reply})

    def switch_ended(self, group: str, phase: str, seconds: float) -> None:
        """Record the duration of a switch by its final phase."""
        self._switches.record(seconds, {'group': group, 'phase': phase})

    def count_kept(self, group: str, reason: str) -> None:
        """Count a check that kept a group's map."""
        self._kept.add(1, {'group': group, 'reason': reason})

    def read(self, group: str, reading: str) -> None:
        """Count a reading of a group's counts."""
        self._readings.add(1, {'group': group, 'reading': reading})

    def record_plan(self, group: str, before: float, after: float) -> None:
        """Record the skew of the map in force and of the decided map."""
        self._skew.set(before, {'group': group, 'map': 'in-force'})
        self._skew.set(after, {'group': group, 'map': 'decided'})
