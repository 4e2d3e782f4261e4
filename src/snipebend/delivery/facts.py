"""What an entry knows of a request and of the upstream it goes to."""

from __future__ import annotations

from typing import NamedTuple


class RequestFacts(NamedTuple):
    """What an entry knows of a request when it arrives.

    ``request_id`` is made by the entry and never used twice; a caller's own
    correlation id is no substitute. ``repeatable`` work may run more than once
    and is never claimed, whatever its key. ``deadline_at`` is wall time.
    """

    request_id: str
    workspace: str
    key: str
    fingerprint: str
    repeatable: bool
    streaming: bool
    resumable: bool
    deadline_at: float

    @property
    def is_claimed(self) -> bool:
        """Tell whether attempts need a claim of the idempotency key."""
        return bool(self.key) and not self.repeatable


class Target(NamedTuple):
    """One life of an upstream's agent, with its two addresses.

    ``alone`` asks the agent to run nothing else beside the attempt.
    """

    upstream: str
    incarnation: int
    http_address: str
    grpc_address: str
    alone: bool = False
