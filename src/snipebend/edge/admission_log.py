"""Lines and counts of the decisions who waits, is called and is refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from snipebend.relay.upstream_selection import NoCapacity

if TYPE_CHECKING:
    from snipebend.edge.admission_desk import Pending
    from snipebend.edge.relay_meters import RelayMeters
    from snipebend.relay.service_room import ServiceRoom
    from snipebend.relay.upstreams import Upstream

_MS = 1000


def record_decision(
    meters: RelayMeters,
    pending: Pending,
    room: ServiceRoom,
    outcome: Upstream | NoCapacity,
    now: float,
) -> None:
    """Log and count the end of a wait, or a refusal."""
    waiter = pending.waiter
    admitted = pending.inquiry.admitted
    result = 'refused' if isinstance(outcome, NoCapacity) else 'called'
    waited_s = now - waiter.asked_at
    meters.record_admission(admitted, result, waited_s)
    logger.info(
        'event=admission request={} service={} workspace={} priority={} '
        + 'outcome={} waited_ms={:.0f} late={} returned={} continued={} '
        + 'calls={} bound={} free={}',
        admitted.facts.request_id,
        admitted.service,
        waiter.workspace,
        admitted.priority,
        result,
        _MS * waited_s,
        now > waiter.start_by,
        waiter.has_returned,
        waiter.is_continued,
        room.calls,
        room.bound,
        room.free,
    )
