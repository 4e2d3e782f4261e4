"""Metrics of a control daemon's replica: roles and disk latency."""

from __future__ import annotations

from snipebend.telemetry.metrics import get_meter
from snipebend.transport.meters import LATENCY_BUCKETS_S


class ReplicaMeters:
    """Counts the role changes of one member and times its log writes."""

    def __init__(self) -> None:
        """Create the instruments."""
        meter = get_meter()
        self._roles = meter.create_counter(
            'snipebend_role_changes',
            description='roles taken in the control group, leader among them',
        )
        self._syncs = meter.create_histogram(
            'snipebend_log_sync_seconds',
            unit='s',
            description='to write and sync entries that waited together',
            explicit_bucket_boundaries_advisory=LATENCY_BUCKETS_S,
        )

    def count_role_change(self, role: str) -> None:
        """Count a change to the given role."""
        self._roles.add(1, {'role': role})

    def record_sync(self, seconds: float) -> None:
        """Record the duration of one write and sync."""
        self._syncs.record(seconds)
