"""Bounds of one request's life at an entry."""

from __future__ import annotations

from typing import NamedTuple


class DeliveryLimits(NamedTuple):
    """Bounds that the entry's settings give.

    ``entry`` names the process in claims. ``max_deadline_s`` caps the caller's
    deadline, ``key_retention_s`` is how long past it a claim is remembered.
    ``max_stored_bytes`` is the longest answer kept for resends.
    ``max_ahead_chunks`` and ``max_ahead_bytes`` bound the chunks held back
    behind a missing one. ``max_attempts`` bounds a request's attempts whatever
    the retry budget says, ``claim_tries`` and ``settle_tries`` the sendings of
    one claim and of one settlement.
    """

    entry: str
    max_deadline_s: float = 600
    key_retention_s: float = 86400
    max_stored_bytes: int = 65536
    max_ahead_chunks: int = 64
    max_ahead_bytes: int = 1048576
    max_attempts: int = 4
    claim_tries: int = 2
    settle_tries: int = 3
