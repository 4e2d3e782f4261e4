"""Messages between an entry and an agent about one attempt.

They travel over a connection of their own (seal) or beside the request's body
(ticket). Deadlines are wall time in seconds.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from snipebend.state.claims import StoredAnswer


class RefusalReason(Enum):
    """Why an agent didn't start an attempt."""

    LEAVING = 'leaving'
    FULL = 'full'
    DEADLINE_PASSED = 'deadline-passed'
    #: The attempt was addressed to an earlier life of the agent.
    WRONG_INCARNATION = 'wrong-incarnation'
    #: The attempt was sealed before it arrived.
    SEALED = 'sealed'
    #: A later attempt of the same request is known here.
    STALE_ATTEMPT = 'stale-attempt'
    #: It or what runs here must run alone.
    NOT_ALONE = 'not-alone'
    #: The upstream can't be reached; nothing was sent to it.
    UPSTREAM_DOWN = 'upstream-down'
    #: The attempt was started before, or may have been: no proof.
    DUPLICATE = 'duplicate'
    #: No room to remember the refusal, so that a late copy might run: no proof.
    UNTRACKED = 'untracked'

    @property
    def proves_not_run(self) -> bool:
        """Tell whether the refused attempt never ran and never will."""
        return self not in {RefusalReason.DUPLICATE, RefusalReason.UNTRACKED}


class AttemptTicket(Struct, frozen=True):
    """What an attempt carries beside the caller's request.

    ``incarnation`` is that of the agent it is addressed to. The agent won't
    start it after ``deadline_at``. ``keep_answer`` is set for work that may
    not be repeated: the agent runs it to its end, whatever becomes of the
    connection, and keeps the answer. ``resume_from`` is the number of the
    first chunk that is wanted. ``alone`` is set for a request suspected of
    killing upstreams: nothing else may run beside it.
    """

    request_id: str
    attempt: int
    incarnation: int
    deadline_at: float
    keep_answer: bool = False
    resume_from: int = 0
    alone: bool = False


class SealRequest(Struct, frozen=True):
    """Ask what became of an attempt and bar it if it was never seen.

    ``deadline_at`` is the attempt's; 0 where the asker doesn't know it.
    """

    request_id: str
    attempt: int
    incarnation: int
    deadline_at: float = 0


class SealVerdict(Enum):
    """What an agent knows of an attempt."""

    #: Unseen or refused, and barred for good from now on.
    NOT_RUN = 'not-run'
    #: Started and not ended yet.
    RUNNING = 'running'
    #: Started and ended; the reply has the answer if it was kept.
    RAN = 'ran'
    #: The agent restarted since, has forgotten attempts of that age, or the
    #: upstream broke off in the middle.
    UNKNOWN = 'unknown'


class SealReply(Struct, frozen=True):
    """The verdict, and the answer of an attempt that ran if it was kept."""

    verdict: SealVerdict
    answer: StoredAnswer | None = None
