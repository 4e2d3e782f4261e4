"""Expert dimensions of engines declared in a document. Performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.sizes import ExpertSizes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from snipebend.hosts.model import HostTable


def expert_services(
    table: HostTable | None,
) -> Iterator[tuple[str, ExpertSizes]]:
    """Yield each service whose engines have experts, with its dimensions."""
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
                    _min_pause_s(table, service.name),
                    engine.report_lag_s,
                ),
            )


def _min_pause_s(table: HostTable, service: str) -> float:
    """Return the shortest pause permitted for a service's streams."""
    pauses_s = [
        route.gap_s
        for route in table.routes
        if route.gap_s > 0
        and any(split.service == service for split in route.splits)
    ]
    return min(pauses_s, default=0)
