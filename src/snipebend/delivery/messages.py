"""Messages between an entry and an agent about one attempt.

Seals are sent over a separate connection, tickets along with the request's
body. Deadlines are wall time in seconds.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from snipebend.state.claims import StoredAnswer


class RefusalReason(Enum):
    """Why an agent did not start an attempt."""

    LEAVING = 'leaving'
    FULL = 'full'
    DEADLINE_PASSED = 'deadline-passed'
    #: The attempt was addressed to an earlier incarnation of the agent.
    WRONG_INCARNATION = 'wrong-incarnation'
    #: The attempt was sealed before it arrived.
    SEALED = 'sealed'
    #: The agent has a record of a later attempt of the same request.
    STALE_ATTEMPT = 'stale-attempt'
    #: The attempt, or one that is running here, has to run alone.
    NOT_ALONE = 'not-alone'
    #: The upstream is unreachable; nothing was sent to it.
    UPSTREAM_DOWN = 'upstream-down'
    #: The attempt was started before, or may have been: proves nothing.
    DUPLICATE = 'duplicate'
    #: No room to record the refusal, so that a late copy might run: proves
    #: nothing.
    UNTRACKED = 'untracked'

    @property
    def proves_not_run(self) -> bool:
        """Return whether the refused attempt never ran and never will."""
        return self not in {RefusalReason.DUPLICATE, RefusalReason.UNTRACKED}


class AttemptTicket(Struct, frozen=True):
    """Metadata that an attempt carries along with the caller's request.

    ``incarnation`` is that of the agent it is addressed to. The agent does not
    start it after ``deadline_at``. ``keep_answer`` is set for work that may
    not be repeated: the agent runs it to its end, even if the connection
    closes, and stores the response. ``resume_from`` is the number of the first
    chunk requested. ``alone`` is set for a request suspected of killing
    upstreams: nothing else may run at the same time.
    """

    request_id: str
    attempt: int
    incarnation: int
    deadline_at: float
    keep_answer: bool = False
    resume_from: int = 0
    alone: bool = False


class SealRequest(Struct, frozen=True):
    """Query the outcome of an attempt, and bar it if it was never received.

    ``deadline_at`` is the attempt's deadline; 0 if the sender does not know
    it.
    """

    request_id: str
    attempt: int
    incarnation: int
    deadline_at: float = 0


class SealVerdict(Enum):
    """The state of an attempt according to its agent."""

    #: Not received or refused, and barred permanently from now on.
    NOT_RUN = 'not-run'
    #: Started and still running.
    RUNNING = 'running'
    #: Started and finished; the reply has the response if it was stored.
    RAN = 'ran'
    #: The agent has restarted since, it has evicted records of that age, or
    #: the upstream failed in the middle.
    UNKNOWN = 'unknown'


class SealReply(Struct, frozen=True):
    """The verdict, and the stored response of an attempt that ran, if any."""

    verdict: SealVerdict
    answer: StoredAnswer | None = None
