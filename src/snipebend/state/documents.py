"""The numbered document in force: the highest number wins (pure).

Operators number their documents themselves and may send one again, late or
twice. What has a lower number than the one in force, or the same, changes
nothing and is acknowledged: it was overtaken.
"""

from __future__ import annotations

from msgspec import Struct


class PutRequest(Struct, frozen=True):
    """Put a checked document in force; ``body`` is kept byte for byte."""

    number: int
    body: bytes


class PutReply(Struct, frozen=True):
    """The number in force afterwards, and whether it is this document's."""

    number: int
    stored: bool


class DocumentBook(Struct):
    """The document in force; number 0: none came yet."""

    number: int = 0
    body: bytes = b''

    def put(self, req: PutRequest) -> PutReply:
        """Keep the document if its number is higher."""
        stored = req.number > self.number
        if stored:
            self.number = req.number
            self.body = req.body
        return PutReply(self.number, stored)
