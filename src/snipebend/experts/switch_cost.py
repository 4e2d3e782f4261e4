"""The amount of weights that each member must fetch for a map."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.experts.model import ExpertMap, decode_map

if TYPE_CHECKING:
    from collections.abc import Collection

    from snipebend.experts.switch_messages import SwitchDecision


class PlacedMap(NamedTuple):
    """A map whose rank axis has the order of ``members``."""

    members: tuple[str, ...]
    expert_map: ExpertMap


def read_decision(decision: SwitchDecision | None) -> PlacedMap | None:
    """Return the map of a decision, or None if it cannot be decoded."""
    if decision is None:
        return None
    decoded = decode_map(decision.placement)
    if decoded.is_err():
        return None
    return PlacedMap(decision.members, decoded.unwrap())


def fetch_bytes(
    before: PlacedMap | None,
    after: PlacedMap,
    expert_bytes: int,
    fresh: Collection[str],
) -> dict[str, int]:
    """Return the number of bytes that each member must fetch.

    Members in ``fresh`` have restarted and hold no weights.
    """
    known = before.members if before else ()
    sizes = {}
    for number, rank in enumerate(after.members):
        required = _experts_on_rank(after, number)
        if before is not None and rank in known and rank not in fresh:
            required -= _experts_on_rank(before, known.index(rank))
        sizes[rank] = len(required) * expert_bytes
    return sizes


def _experts_on_rank(placed: PlacedMap, number: int) -> set[tuple[int, int]]:
    """Return the (layer, expert) pairs assigned to a rank."""
    rows = placed.expert_map.placement.swapaxes(0, 1)[number].tolist()
    return {(layer, expert) for layer, row in enumerate(rows) for expert in row}
