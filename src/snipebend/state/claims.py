"""Messages about claims of idempotency keys.

A claim is made before the first attempt and determines which attempt may run
the request. A new attempt is granted only after the previous one was settled as
``not-run``.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class ClaimVerdict(Enum):
    """The result of a claim."""

    #: The attempt can be sent to the upstream of ``holder``.
    GRANTED = 'granted'
    #: An earlier attempt is not settled; ``holder`` identifies it.
    IN_PROGRESS = 'in-progress'
    #: The request ran; ``answer`` is set if it was small enough to store.
    RAN = 'ran'
    #: It cannot be determined whether the request ran; it is not retried.
    UNKNOWN = 'unknown'
    #: The key was used before for a different request.
    MISMATCH = 'mismatch'


class Holder(Struct, frozen=True):
    """The only attempt that may run, and its target upstream.

    An empty ``grpc_address`` means that the attempt is never sent: the key was
    only looked up. No agent starts the attempt after ``deadline_at`` (wall time
    in seconds, 0 if unknown).
    """

    request_id: str
    attempt: int
    entry: str
    upstream: str
    grpc_address: str
    incarnation: int
    deadline_at: float = 0


class StoredAnswer(Struct, frozen=True):
    """A complete response, stored for resends with the same key."""

    status: int
    content_type: str
    body: bytes


class ClaimRequest(Struct, frozen=True):
    """Requests permission to run an attempt under a key.

    ``fingerprint`` is a hash of method, path and body; ``expires_at`` is the
    wall time in seconds after which the claim can be removed.
    """

    workspace: str
    key: str
    fingerprint: str
    holder: Holder
    expires_at: float


class ClaimReply(Struct, frozen=True):
    """The verdict, the attempt that holds the key and the stored answer."""

    verdict: ClaimVerdict
    holder: Holder | None = None
    answer: StoredAnswer | None = None


class Settlement(Enum):
    """The proven outcome of an attempt."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class SettleRequest(Struct, frozen=True):
    """Reports the outcome of an attempt.

    The first settlement of a key is final, except that a later proof of ``ran``
    replaces ``unknown``.
    """

    workspace: str
    key: str
    request_id: str
    attempt: int
    settlement: Settlement
    answer: StoredAnswer | None = None


class SettleReply(Struct, frozen=True):
    """The settlement in force."""

    settlement: Settlement
