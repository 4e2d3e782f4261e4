"""What a service's engines declare of their experts, and maps of that size."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from snipebend.experts.layer_state import LayerMap

#: Seconds in which an order that is obeyed at once is, and its reply is back:
#: some round trips within a region.
ORDER_MARGIN_S = 0.1


class ExpertSizes(NamedTuple):
    """What a service's engines declare of their experts."""

    layers: int
    experts: int
    places: int
    spare: int
    #: Share of a token's work that its experts do.
    share: float
    #: Seconds to fetch one expert.
    fetch_s: float = 0
    #: Seconds that a stream may pause and still be on time; 0: not told.
    pause_s: float = 0
    #: Seconds by which reports are old.
    report_lag_s: float = 0.5

    @property
    def settle_s(self) -> float:
        """Return seconds after which reports show an order that was given."""
        return self.report_lag_s + ORDER_MARGIN_S


def first_map(sizes: ExpertSizes, ranks: int) -> tuple[LayerMap, ...]:
    """Return the map of a group that has just formed: experts in turn."""
    layer = tuple(
        tuple(range(rank, sizes.experts, ranks)) for rank in range(ranks)
    )
    return (layer,) * sizes.layers


def fits(sizes: ExpertSizes, layers: Sequence[LayerMap]) -> bool:
    """Tell whether a map has all layers, and each of them all experts."""
    experts = set(range(sizes.experts))
    return len(layers) == sizes.layers and all(
        set(chain.from_iterable(layer)) == experts for layer in layers
    )
