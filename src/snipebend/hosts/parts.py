"""Compresses documents and splits them into parts.

Performs no I/O.

A document of thousands of routes is large for the links of entries. It crosses
a link once, compressed, and received parts are kept when a connection ends:
when each daemon sent the complete document, five copies of 0.62 MB filled a
link of 20 Mbit/s for 1.24 s, again after each time-out of a reader.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

from msgspec import Struct
from result import Err, Ok, Result

from snipebend.errors.hierarchy import InvalidInputError

#: Largest part, and the first one: takes 26 ms on a link of 20 Mbit/s, so that
#: responses to callers are not delayed for long.
MAX_PART_BYTES = 65_536

#: Smallest part: takes 0.5 s on a link of 65 kbit/s.
MIN_PART_BYTES = 4096

#: Compressed documents that a daemon keeps. At three changes per second, the
#: highest rate observed, a reader has 1.3 s to finish the document that it has
#: begun.
MAX_KEPT_DOCUMENTS = 4

#: Level of ``zlib``: routes are repetitive, 366 KB are compressed to 22 KB in
#: 1.5 ms; the best level saves a further 3 % in twice the time.
_COMPRESSION_LEVEL = 1

_STEP = 'unpack-document'


class PartRequest(Struct, frozen=True):
    """Requests the next part of a compressed document."""

    #: Number of the document that was begun; 0: the newest.
    number: int = 0
    #: CRC-32 of the compressed document, as sent with the first part.
    digest: int = 0
    #: Bytes received so far.
    offset: int = 0
    #: Bytes requested.
    size: int = MAX_PART_BYTES


class DocumentPart(Struct, frozen=True):
    """A part of a compressed document.

    If the requested document is no longer kept, this is the first part of the
    newest one; without any document it is empty.
    """

    number: int
    digest: int = 0
    #: Size of the compressed document in bytes.
    total: int = 0
    offset: int = 0
    data: bytes = b''


class PackedDocument(NamedTuple):
    """A document in compressed form."""

    number: int
    digest: int
    data: bytes


class DocumentStore:
    """The newest documents, each compressed once."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._packed: dict[int, PackedDocument] = {}

    @property
    def newest(self) -> int:
        """Return the number of the newest document; 0: there is none."""
        return max(self._packed, default=0)

    def put(self, number: int, body: bytes) -> None:
        """Compress a document, and drop the oldest beyond the limit."""
        data = zlib.compress(body, _COMPRESSION_LEVEL)
        self._packed[number] = PackedDocument(number, zlib.crc32(data), data)
        while len(self._packed) > MAX_KEPT_DOCUMENTS:
            self._packed.pop(min(self._packed))

    def get_part(self, req: PartRequest) -> DocumentPart:
        """Return the requested part, or the first one of the newest."""
        packed = self._packed.get(req.number)
        if packed is None or packed.digest != req.digest:
            packed = self._packed.get(self.newest)
            offset = 0
        else:
            offset = req.offset
        if packed is None:
            return DocumentPart(0)
        size = min(max(req.size, MIN_PART_BYTES), MAX_PART_BYTES)
        return DocumentPart(
            packed.number,
            packed.digest,
            len(packed.data),
            offset,
            packed.data[offset : offset + size],
        )


class DocumentAssembly:
    """The received parts of a document."""

    def __init__(self) -> None:
        """Create an empty assembly; the first part determines its document."""
        self.number = 0
        self.parts = 0
        self._digest = 0
        self._total = 0
        self._data = bytearray()
        self._size = MAX_PART_BYTES

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received."""
        return len(self._data)

    @property
    def is_complete(self) -> bool:
        """Return whether all parts have been received."""
        return bool(self._total) and self.received_bytes >= self._total

    def next_request(self) -> PartRequest:
        """Return the request for the next part."""
        return PartRequest(
            self.number, self._digest, self.received_bytes, self._size
        )

    def add(self, part: DocumentPart) -> bool:
        """Add a part; one of another document restarts with that document.

        Return whether the part was usable.
        """
        if (part.number, part.digest) != (self.number, self._digest):
            self._start(part)
        if part.offset != self.received_bytes or not part.data:
            return False
        self._size = min(MAX_PART_BYTES, 2 * self._size)
        self.parts += 1
        self._data += part.data
        return True

    def record_failure(self) -> None:
        """Request less: on a slow link a smaller part arrives in time."""
        self._size = max(MIN_PART_BYTES, self._size // 2)

    def unpack(self) -> Result[bytes, InvalidInputError]:
        """Decompress the document, which must be complete."""
        data = bytes(self._data)
        digest = zlib.crc32(data)
        if digest != self._digest:
            return Err(
                InvalidInputError(
                    f'packed document {self.number} has CRC-32 {digest:08x}, '
                    + f'expected {self._digest:08x}',
                    step=_STEP,
                )
            )
        try:
            return Ok(zlib.decompress(data))
        except zlib.error as exc:
            return Err(InvalidInputError(str(exc), step=_STEP))

    def _start(self, part: DocumentPart) -> None:
        self.number = part.number
        self.parts = 0
        self._digest = part.digest
        self._total = part.total
        self._data.clear()
