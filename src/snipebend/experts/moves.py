"""Selection of the changes that gain most per byte from a search trace.

Within a layer, only prefixes of the trace on the lower convex hull of skew over
loads are worth stopping at. The hull segments of all layers are taken in order
of decreasing slope, the greedy rule for the multiple-choice knapsack (P. Sinha,
A. A. Zoltners, "The multiple-choice knapsack problem", Operations Research
27(3), 1979).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import numpy as np

if TYPE_CHECKING:
    from numpy.typing import NDArray

    from snipebend.experts.search import SearchTrace


class _Segment(NamedTuple):
    layer: int
    rounds: int
    loads: int
    gain_per_load: float


def choose_rounds(
    trace: SearchTrace,
    min_gain: float,
    max_loads: int,
) -> NDArray[np.int64]:
    """Return how many rounds of the trace to keep in each layer.

    Each load kept reduces the skew of its layer by at least ``min_gain``, as an
    average over its segment; the total number of loads is at most
    ``max_loads``.
    """
    layers = trace.skews.shape[1]
    kept = np.zeros(layers, dtype=np.int64)
    closed = np.zeros(layers, dtype=np.bool_)
    segments = [
        segment
        for layer in range(layers)
        for segment in _descending_hull(trace, layer)
        if segment.gain_per_load > min_gain
    ]
    segments.sort(key=_steepest_first)
    for segment in segments:
        if closed[segment.layer] or segment.loads > max_loads:
            closed[segment.layer] = True
            continue
        max_loads -= segment.loads
        kept[segment.layer] = segment.rounds
    return kept


def replay(
    placement: NDArray[np.int16],
    trace: SearchTrace,
    rounds: NDArray[np.int64],
) -> NDArray[np.int16]:
    """Return the placement after the first ``rounds`` changes of each layer."""
    layers = placement.shape[0]
    flat = placement.reshape(layers, -1).copy()
    for number, slots in enumerate(trace.slots):
        running = (rounds > number).reshape(-1, 1) & (slots >= 0)
        rows, columns = np.nonzero(running)
        flat[rows, slots[rows, columns]] = trace.experts[number, rows, columns]
    return align_slots(placement, flat.reshape(placement.shape))


def align_slots(
    before: NDArray[np.int16],
    after: NDArray[np.int16],
) -> NDArray[np.int16]:
    """Return ``after`` with experts that a rank keeps in their old slots."""
    aligned = after.copy()
    layers, ranks = np.nonzero((before != after).any(axis=2))
    for layer, rank in zip(layers.tolist(), ranks.tolist(), strict=True):
        held = before[layer, rank].tolist()
        target = after[layer, rank].tolist()
        aligned[layer, rank] = _align_row(held, target)
    return aligned


def _align_row(held: list[int], target: list[int]) -> list[int]:
    incoming = [expert for expert in target if expert not in held]
    incoming.reverse()
    return [expert if expert in target else incoming.pop() for expert in held]


def _steepest_first(segment: _Segment) -> tuple[float, int, int]:
    return (-segment.gain_per_load, segment.layer, segment.rounds)


def _descending_hull(trace: SearchTrace, layer: int) -> list[_Segment]:
    """Return the descending segments of one layer's lower convex hull.

    The hull is traversed from the start, each time to the point of steepest
    descent (R. A. Jarvis's march, Inf. Process. Lett. 2(1), 1973).
    """
    skews = trace.skews[:, layer]
    loads = trace.loads_used[:, layer]
    segments = []
    position = 0
    while position < len(skews) - 1:
        ahead = loads[position + 1 :] - loads[position]
        gains = (skews[position] - skews[position + 1 :]) / np.maximum(ahead, 1)
        best = int(gains.argmax())
        if gains[best] <= 0:
            break
        position += best + 1
        segments.append(
            _Segment(layer, position, int(ahead[best]), float(gains[best])),
        )
    return segments
