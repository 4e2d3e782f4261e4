"""Input and output records of the router."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class ModelTarget(NamedTuple):
    """A model, and the adapter or version that the request requires, if any."""

    model: str
    adapter: str = ''


class ServiceTarget(NamedTuple):
    """A service of the fleet file that is not a model."""

    service: str


Target = ModelTarget | ServiceTarget


class RoutingRequest(NamedTuple):
    """The attributes of a request that routing uses.

    ``chain`` is the prompt's ``hash_chain``, ``fingerprint`` the result of
    ``fingerprint_of``, and ``part_keys`` stand for what other prompts may share
    with it. ``deadline_at`` is the latest time (router's clock) at
    which its first attempt may start.
    """

    workspace: str
    priority: str
    target: Target
    deadline_at: float
    fingerprint: str = ''
    chain: tuple[int, ...] = ()
    part_keys: tuple[str, ...] = ()


class Ticket(NamedTuple):
    """An admitted or queued request.

    The number is unique within one router.
    """

    number: int
    req: RoutingRequest
    issued_at: float


class RefusalReason(Enum):
    """Why a request was refused; a refused request has not run."""

    UNKNOWN_TARGET = 'unknown-target'
    UNKNOWN_WORKSPACE = 'unknown-workspace'
    RATE = 'rate-limit'
    CONCURRENCY = 'concurrency-limit'
    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'
    QUARANTINED = 'quarantined'
    NO_UPSTREAM = 'no-upstream'


class Admitted(NamedTuple):
    """The request can be sent now."""

    ticket: Ticket


class Queued(NamedTuple):
    """The request is queued; ``dispatch`` returns its ticket later."""

    ticket: Ticket


class Refused(NamedTuple):
    """The request is refused without queueing.

    ``retry_after_s`` is the value for ``Retry-After``; zero means that a retry
    cannot succeed.
    """

    reason: RefusalReason
    retry_after_s: float = 0


Admission = Admitted | Queued | Refused


class RefusedTicket(NamedTuple):
    """A queued request that was refused, and why."""

    ticket: Ticket
    refusal: Refused


class Dispatched(NamedTuple):
    """Tickets that left the queue: to be sent, or refused."""

    admitted: tuple[Ticket, ...] = ()
    refused: tuple[RefusedTicket, ...] = ()


class Choice(NamedTuple):
    """The upstream for one attempt.

    ``cached_blocks`` is the expected length of the cached prefix. ``alone``
    marks a suspect request: no other request may run on the upstream.
    """

    upstream: str
    incarnation: int
    cached_blocks: int = 0
    alone: bool = False


class NoUpstream(NamedTuple):
    """No upstream can take the attempt now.

    ``retry_after_s`` is the time after which a retry is useful. ``wait`` is
    set for a short shortage (all upstreams full, or a suspect whose upstream
    is draining), and not set when there is no upstream at all.
    """

    retry_after_s: float
    wait: bool = False


Selection = Choice | NoUpstream


class AttemptOutcome(Enum):
    """How one attempt ended at its upstream.

    ``REFUSED`` means that the upstream did not run it and reported so
    (leaving, overloaded).
    """

    SERVED = 'served'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMED_OUT = 'timed-out'
    CRASHED = 'crashed'
    CANCELLED = 'cancelled'
