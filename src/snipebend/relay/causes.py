"""What of a request may end the upstreams that run it.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.routing.quarantine import fingerprint_of

if TYPE_CHECKING:
    from snipebend.relay.facts import CallerFacts


class RequestCauses(NamedTuple):
    """The possible causes of the end of an upstream that ran a request."""

    #: The same for all attempts to send the request.
    fingerprint: str
    #: The parts of its prompt that other requests may have.
    parts: tuple[str, ...] = ()


def find_causes(
    facts: CallerFacts, workspace: str, target: str, body: bytes
) -> RequestCauses:
    """Return the possible causes in a request.

    The last part of a prompt belongs to the request itself, or to its session,
    so that the fingerprint covers it.
    """
    return RequestCauses(
        fingerprint_of(workspace, target, body),
        tuple(part.identity for part in facts.prefix[:-1]),
    )
