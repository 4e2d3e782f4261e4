"""What is known of a request, of one call of an upstream and of its answer."""

from __future__ import annotations

from typing import NamedTuple, Protocol

#: Header lines as they were sent, names in the sender's spelling.
Headers = tuple[tuple[bytes, bytes], ...]


def texts_of(headers: Headers, name: bytes) -> list[str]:
    """Return what each line of a header says, in their order."""
    return [
        sent.decode('latin-1')
        for each, sent in headers
        if each.lower() == name.lower()
    ]


class PrefixPart(NamedTuple):
    """One part of a prompt, which other requests may share."""

    identity: str
    tokens: int


class RequestHead(NamedTuple):
    """A request's line and headers as the caller sent them."""

    method: bytes
    target: bytes
    headers: Headers


class CallerFacts(NamedTuple):
    """What a request's head says, in the project's terms."""

    #: The caller's own id of this sending.
    request_id: str = ''
    host: str = ''
    #: The workspace's key; empty: none was sent.
    key: str = ''
    #: Seconds that the caller will wait; absent: not told.
    patience_s: float | None = None
    #: The last event that the caller has, for streams that it resumes.
    last_event: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prefix: tuple[PrefixPart, ...] = ()


class UpstreamCall(NamedTuple):
    """What an entry adds to a request for one upstream."""

    #: The life of the upstream that shall run it, and no other.
    identity: str
    #: The workspace whose key the caller proved; empty: none.
    workspace: str
    #: Seconds that are left; absent: unlimited.
    time_left_s: float | None
    #: 0 is the most urgent.
    priority: int
    #: The event after which a stream goes on; absent: as the caller asked.
    resume_after: int | None = None


class AnswerHead(NamedTuple):
    """An answer's line and headers as the upstream sent them."""

    status: int
    reason: bytes
    headers: Headers


class NamedLimit(NamedTuple):
    """How many requests an upstream in need takes, from all entries."""

    #: Requests a second; absent: what it says can't be read.
    per_s: float | None


class RestAsked(NamedTuple):
    """For how long an upstream wants nothing more from this entry."""

    #: From its answer on; absent: what it says can't be read.
    seconds: float | None


class AnswerFacts(NamedTuple):
    """What an answer's head says, in the project's terms."""

    #: The id of the request that it answers; empty: not told.
    request_id: str = ''
    #: Whether it bears the upstream's proof of authorship.
    proved: bool = False
    #: Whether the upstream states that it didn't and won't run the request.
    not_run: bool = False
    #: Whether another life of an upstream answered at this address.
    other_identity: bool = False
    #: Address of the upstream that is to blame; empty: none is named.
    at_fault: str = ''
    #: The limit that it names; absent: none.
    limit: NamedLimit | None = None
    #: The rest that it asks for as it refuses the request; absent: none.
    rest: RestAsked | None = None
    #: Whether it says that it is leaving, and takes no new work.
    leaving: bool = False


class Dialect(Protocol):
    """The names under which a platform's callers and upstreams speak."""

    def read_caller(self, head: RequestHead) -> CallerFacts | None:
        """Return a request's facts; nothing when they can't be read."""

    def upstream_headers(
        self, headers: Headers, call: UpstreamCall
    ) -> list[tuple[bytes, bytes]]:
        """Return a request's headers for an upstream."""

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Return an answer's facts."""

    def refusal_headers(
        self, request_id: str, wait_s: float
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an own refusal; 0: no time to come back."""
