"""The agent's admission guard: at most one execution of each attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from snipebend.delivery.messages import (
        AttemptTicket,
        RefusalReason,
        SealReply,
        SealRequest,
    )
    from snipebend.state.claims import StoredAnswer


class Admitted(NamedTuple):
    """The attempt may start now; ``Guard.finish`` must follow."""


class Refused(NamedTuple):
    """The attempt isn't started."""

    reason: RefusalReason


Admission: TypeAlias = Admitted | Refused


class GuardLimits(NamedTuple):
    """Bounds of the guard: attempts at once, records and kept bytes."""

    max_running: int
    max_records: int = 65536
    max_answer_bytes: int = 16777216
    retention_s: float = 600


class Guard:
    """Admits attempts to the one upstream and answers seals."""

    def __init__(self, incarnation: int, limits: GuardLimits) -> None:
        """Know no attempts yet; ``incarnation`` grows with each start."""
        self.incarnation = incarnation
        self._limits = limits

    def leave(self) -> None:
        """Refuse new attempts from now on; seals are still answered."""
        raise NotImplementedError

    def admit(self, ticket: AttemptTicket, now: float) -> Admission:
        """Decide whether an attempt may start."""
        raise NotImplementedError

    def finish(
        self,
        request_id: str,
        attempt: int,
        answer: StoredAnswer | None,
    ) -> None:
        """Note the end of an admitted attempt and its answer, if complete."""
        raise NotImplementedError

    def seal(self, request: SealRequest, now: float) -> SealReply:
        """Tell what became of an attempt and bar it if it is unseen."""
        raise NotImplementedError
