"""The records that the router takes and gives."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class ModelTarget(NamedTuple):
    """A model, with the adapter or version that the request needs, if any."""

    model: str
    adapter: str = ''


class ServiceTarget(NamedTuple):
    """A plain service of the fleet file."""

    service: str


Target = ModelTarget | ServiceTarget


class RoutingRequest(NamedTuple):
    """One request as far as routing needs to know it.

    ``chain`` is the prompt's ``hash_chain``; ``fingerprint`` comes from
    ``fingerprint_of``; ``deadline_at`` is the last moment (router's clock) at
    which its first attempt is still worth starting.
    """

    workspace: str
    priority: str
    target: Target
    deadline_at: float
    fingerprint: str = ''
    chain: tuple[int, ...] = ()


class Ticket(NamedTuple):
    """A request that was let in; the number is unique within one router."""

    number: int
    req: RoutingRequest
    taken_at: float


class RefusalReason(Enum):
    """Why a request was refused; it did not run."""

    UNKNOWN_TARGET = 'unknown-target'
    UNKNOWN_WORKSPACE = 'unknown-workspace'
    RATE = 'rate-limit'
    CONCURRENCY = 'concurrency-limit'
    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'
    QUARANTINED = 'quarantined'
    NO_UPSTREAM = 'no-upstream'


class Admitted(NamedTuple):
    """The request may be dispatched now."""

    ticket: Ticket


class Queued(NamedTuple):
    """The request waits; ``dispatch`` returns its ticket later."""

    ticket: Ticket


class Refused(NamedTuple):
    """The request is refused at once.

    ``retry_after_s`` is the span for ``Retry-After``; zero: coming back
    doesn't help.
    """

    reason: RefusalReason
    retry_after_s: float = 0


Admission = Admitted | Queued | Refused


class RefusedTicket(NamedTuple):
    """A queued request that can't start before its deadline any more."""

    ticket: Ticket
    refusal: Refused


class Dispatched(NamedTuple):
    """What left the queue: tickets to dispatch and tickets to refuse."""

    admitted: tuple[Ticket, ...] = ()
    refused: tuple[RefusedTicket, ...] = ()


class Choice(NamedTuple):
    """The upstream for one attempt.

    ``cached_blocks`` is the expected length of the cached prefix; ``alone``
    says that the request is a suspect and nothing else may run beside it.
    """

    upstream: str
    incarnation: int
    cached_blocks: int = 0
    alone: bool = False


class NoUpstream(NamedTuple):
    """No upstream can take the attempt now; try again after the span.

    ``wait`` tells a shortage that ends soon (all upstreams full, or a suspect
    whose upstream drains) from having no upstream at all.
    """

    retry_after_s: float
    wait: bool = False


Selection = Choice | NoUpstream


class AttemptOutcome(Enum):
    """How one attempt ended, as far as its upstream is concerned.

    ``REFUSED`` is the upstream's own true "not run" (leaving, overloaded).
    """

    SERVED = 'served'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMED_OUT = 'timed-out'
    CRASHED = 'crashed'
    CANCELLED = 'cancelled'
