"""Bounds on the lifecycle of one request at an entry."""

from __future__ import annotations

from typing import NamedTuple


class DeliveryLimits(NamedTuple):
    """Bounds from the entry's settings.

    ``entry`` is the name of the process in claims. ``max_deadline_s`` caps the
    caller's deadline, and ``key_retention_s`` is how long past it a claim is
    kept. ``max_stored_bytes`` is the size of the longest response stored for
    resends. ``max_ahead_chunks`` and ``max_ahead_bytes`` bound the chunks held
    back behind a missing one. ``max_attempts`` bounds a request's attempts
    independently of the retry budget, ``claim_tries`` and ``settle_tries`` how
    often one claim and one settlement are sent.
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
