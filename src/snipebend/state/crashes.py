"""Messages about requests that were running when an upstream crashed."""

from __future__ import annotations

from msgspec import Struct


class CrashReport(Struct, frozen=True):
    """A crash of an upstream and the requests that were running on it.

    ``fingerprints`` are hashes of workspace, path and body. Several reports of
    the same ``upstream`` and ``incarnation`` count as one crash.
    """

    upstream: str
    incarnation: int
    fingerprints: tuple[str, ...]
    ran_alone: bool = False
    #: The keys of the prompt parts of each of these requests, and when its
    #: attempt began; wall milliseconds. Earlier versions send neither.
    parts: dict[str, tuple[str, ...]] = {}
    began_ms: dict[str, int] = {}


class Suspect(Struct, frozen=True):
    """A suspect request with its crashes; quarantined until a wall time.

    ``fingerprint`` is the key of a prompt part if that is the suspect.
    """

    fingerprint: str
    deaths: int
    quarantined_until: float = 0


class SuspectCleared(Struct, frozen=True):
    """Reports that a suspect request, or one with a part, ran to completion.

    ``deaths`` is its number of crashes known when it started; the request stays
    a suspect if another crash was recorded meanwhile.
    """

    fingerprint: str
    deaths: int


class SuspectQuery(Struct, frozen=True):
    """Requests the suspects; ``revision`` is the one that the sender has."""

    process: str = ''
    revision: int = -1


class SuspectList(Struct, frozen=True):
    """All suspects, with the revision of the list.

    In the reply to a query the list is empty if the sender of the query already
    has that revision.
    """

    revision: int
    suspects: tuple[Suspect, ...] = ()
