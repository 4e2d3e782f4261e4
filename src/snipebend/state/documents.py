"""The numbered document in force, the highest number; performs no I/O.

Operators number their documents, and may send one late or several times. A
document whose number is not higher than the number in force is acknowledged but
not stored, because it is outdated.
"""

from __future__ import annotations

from msgspec import Struct


class PutRequest(Struct, frozen=True):
    """Puts a validated document in force; ``body`` is stored unchanged."""

    number: int
    body: bytes


class PutReply(Struct, frozen=True):
    """The number in force afterwards, and whether the document was stored."""

    number: int
    stored: bool


class DocumentState(Struct):
    """The document in force; number 0 if there is none yet."""

    number: int = 0
    body: bytes = b''

    def put(self, req: PutRequest) -> PutReply:
        """Store the document if its number is higher than the current one."""
        stored = req.number > self.number
        if stored:
            self.number = req.number
            self.body = req.body
        return PutReply(self.number, stored)
