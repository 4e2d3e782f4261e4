"""What of a request may end the upstreams that run it.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.hashing.part_keys import make_part_keys
from snipebend.routing.quarantine import fingerprint_of

if TYPE_CHECKING:
    from snipebend.relay.facts import CallerFacts


class RequestCauses(NamedTuple):
    """The possible causes of the end of an upstream that ran a request."""

    #: The same for all attempts to send the request.
    fingerprint: str
    #: The parts of its prompt that other requests may have.
    parts: tuple[str, ...] = ()

    @property
    def keys(self) -> tuple[str, ...]:
        """Return a key for each cause, the request's first."""
        return (self.fingerprint, *self.part_keys)

    @property
    def part_keys(self) -> tuple[str, ...]:
        """Return a key for each part."""
        return make_part_keys(self.parts)


def find_causes(
    facts: CallerFacts, workspace: str, target: str, body: bytes
) -> RequestCauses:
    """Return the possible causes in a request.

    The last part of a prompt belongs to the request itself, or to its session,
    so that the fingerprint covers it.
    """
    return RequestCauses(
        fingerprint_of(workspace, target, body),
        find_shared_parts(facts),
    )


def find_shared_parts(facts: CallerFacts) -> tuple[str, ...]:
    """Return the parts of a prompt that other requests may have."""
    return tuple(part.identity for part in facts.prefix[:-1])
