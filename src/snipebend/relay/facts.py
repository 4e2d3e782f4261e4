"""Platform-neutral records of requests, upstream calls and responses."""

from __future__ import annotations

from typing import NamedTuple, Protocol

#: Header lines as received, names in the sender's spelling.
Headers = tuple[tuple[bytes, bytes], ...]


def header_values(headers: Headers, name: bytes) -> list[str]:
    """Return the values of a header, in the order of its lines."""
    return [
        header_value.decode('latin-1')
        for header_name, header_value in headers
        if header_name.lower() == name.lower()
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
    """The content of a request's head, independent of header names."""

    #: The caller's ID of this attempt to send the request.
    request_id: str = ''
    host: str = ''
    #: The API key of the workspace; empty if none was sent.
    key: str = ''
    #: Seconds that the caller will wait; None if not stated.
    timeout_s: float | None = None
    #: The last event that the caller received, for resumed streams.
    last_event: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prefix: tuple[PrefixPart, ...] = ()


class CallContext(NamedTuple):
    """What an entry adds to a request for one upstream."""

    #: The incarnation of the upstream that may run the request; others refuse.
    identity: str
    #: The workspace that the caller's API key belongs to; empty if none.
    workspace: str
    #: Seconds left until the deadline; None if unlimited.
    time_left_s: float | None
    #: 0 is the most urgent.
    priority: int
    #: The event after which a stream resumes; None keeps the caller's value.
    resume_after: int | None = None


class ResponseHead(NamedTuple):
    """A response's line and headers as the upstream sent them."""

    status: int
    reason: bytes
    headers: Headers


class AnnouncedLimit(NamedTuple):
    """The request rate that an overloaded upstream accepts from all entries."""

    #: Requests per second; None if the header can't be parsed.
    per_s: float | None


class BackoffRequest(NamedTuple):
    """For how long an upstream wants no further requests from this entry."""

    #: Counted from the response; None if the header can't be parsed.
    seconds: float | None


class ResponseFacts(NamedTuple):
    """The content of a response's head, independent of header names."""

    #: The ID of the request that it responds to; empty if not stated.
    request_id: str = ''
    #: Whether it carries the upstream's proof of authorship.
    authenticated: bool = False
    #: Whether the upstream states that it did not and will not run the request.
    not_run: bool = False
    #: Whether another incarnation of an upstream responded at this address.
    identity_mismatch: bool = False
    #: Address of the upstream that caused the refusal; empty if not stated.
    faulty_address: str = ''
    #: The announced rate limit, if any.
    limit: AnnouncedLimit | None = None
    #: The backoff requested together with a refusal, if any.
    backoff: BackoffRequest | None = None
    #: Whether the upstream is shutting down and accepts no new work.
    leaving: bool = False
    #: Seconds for which the upstream stays cold; None if not stated.
    cold_s: float | None = None


class Dialect(Protocol):
    """The headers by which a platform's callers and upstreams communicate."""

    def read_caller(self, head: RequestHead) -> CallerFacts | None:
        """Parse a request's head; return None if it is malformed."""

    def upstream_headers(
        self, headers: Headers, call: CallContext
    ) -> list[tuple[bytes, bytes]]:
        """Return a request's headers for an upstream."""

    def read_response(self, head: ResponseHead) -> ResponseFacts:
        """Parse a response's head."""

    def refusal_headers(
        self, request_id: str, retry_after_s: float
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a refusal by the entry; 0: no retry time."""
