"""Messages about claims of idempotency keys.

A claim is made before the first attempt and names who may run the request. A
new attempt is granted only after the former one was settled as ``not-run``.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct


class ClaimVerdict(Enum):
    """What a claim was answered with."""

    #: The attempt may be sent to the named upstream.
    GRANTED = 'granted'
    #: An earlier attempt is not settled; ``holder`` names it.
    IN_PROGRESS = 'in-progress'
    #: The request ran; ``answer`` is the stored one, if it fitted.
    RAN = 'ran'
    #: Nobody can tell whether the request ran; it won't run again.
    UNKNOWN = 'unknown'
    #: The key was used before with another request.
    MISMATCH = 'mismatch'


class Holder(Struct, frozen=True):
    """The one attempt that may run, and where.

    An empty ``grpc_address`` means that the attempt is never sent: the key was
    only looked up. After ``deadline_at`` (wall time in seconds, 0 if unknown)
    no agent starts the attempt.
    """

    request_id: str
    attempt: int
    entry: str
    upstream: str
    grpc_address: str
    incarnation: int
    deadline_at: float = 0


class StoredAnswer(Struct, frozen=True):
    """A complete answer, kept for resends of the same key."""

    status: int
    content_type: str
    body: bytes


class ClaimRequest(Struct, frozen=True):
    """Ask to run an attempt under a key.

    ``fingerprint`` is a hash of method, path and body; ``expires_at`` is wall
    time in seconds after which the key may be forgotten.
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
    """How an attempt ended, as far as it could be proved."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class SettleRequest(Struct, frozen=True):
    """Tell how the attempt of a key ended; the first settlement stands.

    Except that ``unknown`` gives way to a later proof of ``ran``.
    """

    workspace: str
    key: str
    request_id: str
    attempt: int
    settlement: Settlement
    answer: StoredAnswer | None = None


class SettleReply(Struct, frozen=True):
    """The settlement that stands."""

    settlement: Settlement
