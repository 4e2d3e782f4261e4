"""What a control daemon counts and times of its log."""

from __future__ import annotations

from snipebend.telemetry.metrics import get_meter
from snipebend.transport.meters import LATENCY_BUCKETS_S


class ReplicaMeters:
    """The roles of one member, and how long its disk takes."""

    def __init__(self) -> None:
        """Make the instruments."""
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

    def role_taken(self, role: str) -> None:
        """Count a change of role."""
        self._roles.add(1, {'role': role})

    def synced(self, seconds: float) -> None:
        """Note how long a write took."""
        self._syncs.record(seconds)
