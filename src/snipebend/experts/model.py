"""Expert maps: which expert's weights each slot of a group's ranks holds."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import numpy as np
from result import Err, Ok
from xxhash import xxh64_intdigest

from snipebend.errors.hierarchy import CorruptionError, InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from numpy.typing import NDArray
    from result import Result

#: Little-endian map version, layers, ranks and slots; expert ids follow.
_HEADER = struct.Struct('<QIII')
_EXPERT_TYPE = np.dtype('<i2')
_DECODE_STEP = 'decode expert map'


class GroupShape(NamedTuple):
    """Sizes of a group; ``slots`` is the number per rank and layer.

    ``expert_bytes`` is the size of one expert's weights in one layer.
    """

    ranks: int
    experts: int
    layers: int
    slots: int
    expert_bytes: int

    @property
    def placement_shape(self) -> tuple[int, int, int]:
        """Return the axes of a placement: layers, ranks and slots."""
        return (self.layers, self.ranks, self.slots)


class Move(NamedTuple):
    """Load of ``expert`` into one slot, replacing what the slot held."""

    layer: int
    rank: int
    slot: int
    expert: int


@dataclass(frozen=True, eq=False)
class ExpertMap:
    """One immutable version of a group's placement.

    ``placement`` holds expert ids and has the axes layers, ranks and slots. Two
    maps are equal if both version and placement are equal.
    """

    version: int
    placement: NDArray[np.int16]

    def __post_init__(self) -> None:
        """Keep a read-only copy of the placement."""
        held = np.array(self.placement, dtype=_EXPERT_TYPE, order='C')
        held.flags.writeable = False
        object.__setattr__(self, 'placement', held)

    def __eq__(self, other: object) -> bool:
        """Compare version and placement."""
        if not isinstance(other, ExpertMap):
            return NotImplemented
        return self.encode() == other.encode()

    def __hash__(self) -> int:
        """Hash version and placement."""
        return self.digest()

    def digest(self) -> int:
        """Return the 64-bit xxHash of the encoded map."""
        return xxh64_intdigest(self.encode())

    def encode(self) -> bytes:
        """Return the map as bytes, independent of the machine's byte order."""
        header = _HEADER.pack(self.version, *self.placement.shape)
        return header + self.placement.tobytes()

    def moves_to(self, target: ExpertMap) -> tuple[Move, ...]:
        """Return the loads that turn this placement into the target's."""
        layers, ranks, slots = np.nonzero(self.placement != target.placement)
        experts = target.placement[layers, ranks, slots]
        columns = (layers, ranks, slots, experts)
        rows = zip(*(column.tolist() for column in columns), strict=True)
        return tuple(Move(*row) for row in rows)

    def apply_moves(self, moves: Iterable[Move], version: int) -> ExpertMap:
        """Return the map after the moves, under the given version."""
        placement = self.placement.copy()
        for move in moves:
            placement[move.layer, move.rank, move.slot] = move.expert
        return ExpertMap(version, placement)


def decode_map(encoded: bytes) -> Result[ExpertMap, CorruptionError]:
    """Read a map that ``ExpertMap.encode`` wrote."""
    if len(encoded) < _HEADER.size:
        return Err(
            CorruptionError(
                f'header truncated: got {len(encoded)} of {_HEADER.size} bytes',
                step=_DECODE_STEP,
            )
        )
    version, layers, ranks, slots = _HEADER.unpack_from(encoded)
    expected = layers * ranks * slots * _EXPERT_TYPE.itemsize
    body = encoded[_HEADER.size :]
    if len(body) != expected:
        return Err(
            CorruptionError(
                f'placement has {len(body)} bytes, expected {expected}',
                step=_DECODE_STEP,
            )
        )
    flat = np.frombuffer(body, dtype=_EXPERT_TYPE)
    return Ok(ExpertMap(version, flat.reshape(layers, ranks, slots)))


def check_map(
    shape: GroupShape,
    expert_map: ExpertMap,
) -> Result[ExpertMap, InvalidInputError]:
    """Return the map if the group can serve with it.

    The placement must have the group's axes, contain only known experts, hold
    each expert on at least one rank of each layer, and hold no expert twice on
    one rank, where a second copy would not relieve the first.
    """
    fault = _find_fault(shape, expert_map.placement)
    if fault:
        return Err(InvalidInputError(fault, step='check expert map'))
    return Ok(expert_map)


def _find_fault(shape: GroupShape, placement: NDArray[np.int16]) -> str:
    if placement.shape != shape.placement_shape:
        return f'axes are {placement.shape}, not {shape.placement_shape}'
    if placement.size and not _in_range(placement, shape.experts):
        return 'unknown expert'
    if (count_replicas(placement, shape.experts) == 0).any():
        return 'expert without a rank'
    ordered = np.sort(placement, axis=2)
    if (np.diff(ordered, axis=2) == 0).any():
        return 'expert twice on one rank'
    return ''


def _in_range(placement: NDArray[np.int16], experts: int) -> bool:
    return bool(placement.min() >= 0 and placement.max() < experts)


def count_replicas(
    placement: NDArray[np.int16],
    experts: int,
) -> NDArray[np.int64]:
    """Return the number of slots that hold each expert, layers by experts."""
    layers = placement.shape[0]
    offsets = np.arange(0, layers * experts, experts).reshape(layers, 1)
    keys = placement.reshape(layers, -1) + offsets
    counts = np.bincount(keys.ravel(), minlength=layers * experts)
    return counts.reshape(layers, experts)
