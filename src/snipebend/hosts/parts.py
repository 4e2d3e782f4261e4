"""Documents packed and cut into parts (pure).

A document of thousands of routes is long for the links of entries. It crosses
one once, packed, and what has arrived of it stays when a connection ends: with
each daemon sending it whole, five copies of 0.62 MB filled a link of 20 Mbit/s
for 1.24 s, each time that a reader lost patience anew.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

from msgspec import Struct
from result import Err, Ok, Result

from snipebend.errors.hierarchy import InvalidInputError

#: Bytes of a part at most, and of the first: 26 ms of a link of 20 Mbit/s, so
#: that answers to callers don't wait long behind one.
MOST_PART_BYTES = 65_536

#: Bytes of a part at least: 0.5 s of a link of 65 kbit/s.
LEAST_PART_BYTES = 4096

#: Documents that a daemon keeps packed. Changes of 3 a second, the most that
#: was seen, leave a reader 1.3 s for the one that it has begun.
SHELVED = 4

#: Of ``zlib``: routes repeat each other, 366 KB become 22 KB in 1.5 ms; the
#: best level saves 3 in 100 of that more for twice the time.
_PACK_LEVEL = 1

_STEP = 'unpack-document'


class PartRequest(Struct, frozen=True):
    """Ask for the next part of a packed document."""

    #: Of the document that was begun; 0: the newest.
    number: int = 0
    #: Of the packed bytes, as the first part told it.
    digest: int = 0
    #: Bytes that are there already.
    offset: int = 0
    #: Bytes that are wanted.
    size: int = MOST_PART_BYTES


class DocumentPart(Struct, frozen=True):
    """A part of a packed document.

    It is the first one of the newest document where another was asked for that
    isn't held any more, and has no length where there is none.
    """

    number: int
    digest: int = 0
    #: Bytes of the packed document.
    total: int = 0
    offset: int = 0
    data: bytes = b''


class PackedDocument(NamedTuple):
    """A document as it crosses links."""

    number: int
    digest: int
    data: bytes


class DocumentShelf:
    """The newest documents, packed once each."""

    def __init__(self) -> None:
        """Hold none."""
        self._packed: dict[int, PackedDocument] = {}

    @property
    def newest(self) -> int:
        """Return the number of the newest document; 0: none is held."""
        return max(self._packed, default=0)

    def put(self, number: int, body: bytes) -> None:
        """Pack a document, and drop the oldest of too many."""
        data = zlib.compress(body, _PACK_LEVEL)
        self._packed[number] = PackedDocument(number, zlib.crc32(data), data)
        while len(self._packed) > SHELVED:
            self._packed.pop(min(self._packed))

    def part(self, req: PartRequest) -> DocumentPart:
        """Cut the part that is asked for, or begin the newest document."""
        packed = self._packed.get(req.number)
        if packed is None or packed.digest != req.digest:
            packed = self._packed.get(self.newest)
            offset = 0
        else:
            offset = req.offset
        if packed is None:
            return DocumentPart(0)
        size = min(max(req.size, LEAST_PART_BYTES), MOST_PART_BYTES)
        return DocumentPart(
            packed.number,
            packed.digest,
            len(packed.data),
            offset,
            packed.data[offset : offset + size],
        )


class Assembly:
    """What has arrived of a document."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self.number = 0
        self.parts = 0
        self._digest = 0
        self._total = 0
        self._data = bytearray()
        self._size = MOST_PART_BYTES

    @property
    def arrived(self) -> int:
        """Return the bytes that are there."""
        return len(self._data)

    @property
    def whole(self) -> bool:
        """Tell whether all parts are there."""
        return bool(self._total) and self.arrived >= self._total

    def request(self) -> PartRequest:
        """Return what to ask for next."""
        return PartRequest(self.number, self._digest, self.arrived, self._size)

    def take(self, part: DocumentPart) -> bool:
        """Add a part; one of another document begins that one instead.

        Tell whether it was of use.
        """
        if (part.number, part.digest) != (self.number, self._digest):
            self._begin(part)
        if part.offset != self.arrived or not part.data:
            return False
        self._size = min(MOST_PART_BYTES, 2 * self._size)
        self.parts += 1
        self._data += part.data
        return True

    def record_failure(self) -> None:
        """Ask for less: on a slow link a shorter part comes in time."""
        self._size = max(LEAST_PART_BYTES, self._size // 2)

    def unpack(self) -> Result[bytes, InvalidInputError]:
        """Return the document, which is whole."""
        data = bytes(self._data)
        if zlib.crc32(data) != self._digest:
            return Err(InvalidInputError('the digest differs', step=_STEP))
        try:
            return Ok(zlib.decompress(data))
        except zlib.error as exc:
            return Err(InvalidInputError(str(exc), step=_STEP))

    def _begin(self, part: DocumentPart) -> None:
        self.number = part.number
        self.parts = 0
        self._digest = part.digest
        self._total = part.total
        self._data.clear()
