"""What a document declares of the experts of its services' engines (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.sizes import ExpertSizes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from snipebend.hosts.model import HostTable


def expert_services(
    table: HostTable | None,
) -> Iterator[tuple[str, ExpertSizes]]:
    """Yield the services whose engines have experts."""
    if table is None:
        return
    for service in table.services:
        engine = service.engine
        if engine is not None and engine.layers:
            yield (
                service.name,
                ExpertSizes(
                    engine.layers,
                    engine.experts,
                    engine.places,
                    engine.spare,
                    engine.expert_share,
                    engine.fetch_s,
                    _least_pause_s(table, service.name),
                    engine.report_lag_s,
                ),
            )


def _least_pause_s(table: HostTable, service: str) -> float:
    """Return the shortest pause that a stream of a service may make."""
    pauses_s = [
        route.gap_s
        for route in table.routes
        if route.gap_s > 0
        and any(split.service == service for split in route.splits)
    ]
    return min(pauses_s, default=0)
