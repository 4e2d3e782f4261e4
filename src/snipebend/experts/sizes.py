"""Expert configuration of a service's engines, and initial maps."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from snipebend.experts.layer_state import LayerMap

#: Seconds from sending an order that is executed at once to its reply: a few
#: round trips within a region.
ORDER_ROUND_TRIP_S = 0.1


class ExpertSizes(NamedTuple):
    """Expert configuration that a service's engines declare."""

    layers: int
    experts: int
    #: Largest number of experts of one layer on a rank.
    slots: int
    #: Largest number of experts of one layer that are new to a rank in one
    #: change.
    max_new: int
    #: Share of the work for a token that its experts do.
    work_share: float
    #: Seconds to fetch one expert.
    fetch_s: float = 0
    #: Longest pause in seconds after which a stream is still on time; 0: not
    #: declared.
    max_pause_s: float = 0
    #: Age of reports in seconds.
    report_lag_s: float = 0.5

    @property
    def settle_s(self) -> float:
        """Return the seconds until reports show the effect of an order."""
        return self.report_lag_s + ORDER_ROUND_TRIP_S


def initial_map(sizes: ExpertSizes, ranks: int) -> tuple[LayerMap, ...]:
    """Return the map of a newly formed group: experts dealt round-robin."""
    layer = tuple(
        tuple(range(rank, sizes.experts, ranks)) for rank in range(ranks)
    )
    return (layer,) * sizes.layers


def is_complete_map(sizes: ExpertSizes, layers: Sequence[LayerMap]) -> bool:
    """Return whether a map has all layers, each with all experts."""
    experts = set(range(sizes.experts))
    return len(layers) == sizes.layers and all(
        set(chain.from_iterable(layer)) == experts for layer in layers
    )
