"""Writes one part of the contents through the daemons of a group."""

from __future__ import annotations

from itertools import cycle
from typing import TYPE_CHECKING

from tests.upgrades import contents, paths
from tests.upgrades.control_group import NAMES
from tests.upgrades.wire import call

if TYPE_CHECKING:
    from pathlib import Path

    from tests.upgrades.control_group import ControlGroup


async def write_part(
    group: ControlGroup, part: str, examples: list[Path]
) -> int:
    """Write through leader and followers in turn; return how many writes."""
    leader = await group.leader()
    turns = cycle(NAMES)
    for number, example in enumerate(examples):
        text = contents.fleet_text(example)
        address = group.address(next(turns))
        change = f'{part}-{number}'
        await contents.apply(address, change, text)
        await contents.apply(address, f'{change}-late', text, 0)
    requests = [
        *contents.claims_of(part),
        *contents.fences_of(part),
        *contents.crashes_of(part),
        *contents.maps_of(part),
        *contents.plans_of(part),
        *contents.records_of(part),
        *contents.many_of(part),
    ]
    for req in requests:
        # Only a leader takes what others pass on to it.
        by = leader if req.path == paths.FORWARD else next(turns)
        await call(group.address(by), req.path, req.fields)
    return len(requests) + 2 * len(examples)
