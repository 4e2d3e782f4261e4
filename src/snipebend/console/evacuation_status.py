"""The latest orders to evacuate data centres, for ``status`` and operators."""

from __future__ import annotations

import asyncio
from datetime import UTC, datetime
from typing import TYPE_CHECKING

import msgspec

from snipebend.console.connection import call_any
from snipebend.console.output import print_line
from snipebend.state.evacuations import EvacuationList, EvacuationQuery
from snipebend.transport.methods import LIST_EVACUATIONS

if TYPE_CHECKING:
    from snipebend.state.evacuations import EvacuationRecord


def fetch_evacuations(addresses: list[str]) -> EvacuationList:
    """Return the latest orders; none from control that doesn't take any."""
    listed = asyncio.run(
        call_any(addresses, LIST_EVACUATIONS, EvacuationQuery())
    )
    return listed.unwrap_or(EvacuationList(0, {}))


def print_evacuations(listed: EvacuationList) -> None:
    """Print a line for each data centre that an order was about."""
    for name, record in sorted(listed.records.items()):
        print_line(_describe(name, record))


def describe_evacuations(listed: EvacuationList) -> dict[str, object]:
    """Return the orders as JSON-compatible values."""
    document: dict[str, object] = msgspec.to_builtins(listed)
    return document


def _describe(name: str, record: EvacuationRecord) -> str:
    since = datetime.fromtimestamp(record.since, UTC)
    state = 'evacuated' if record.evacuated else 'open'
    return (
        f'data_center {name} {state} '
        + f'since={since.isoformat(timespec="seconds")} '
        + f'by={record.ordered_by or "-"} revision={record.revision}'
    )
