"""Messages about requests that were running when an upstream died."""

from __future__ import annotations

from msgspec import Struct


class CrashReport(Struct, frozen=True):
    """One death of an upstream and what was running there.

    ``fingerprints`` are hashes of workspace, path and body; the death is
    counted once, whoever else reports the same ``upstream`` and
    ``incarnation``.
    """

    upstream: str
    incarnation: int
    fingerprints: tuple[str, ...]
    ran_alone: bool = False


class Suspect(Struct, frozen=True):
    """A fingerprint with its deaths; quarantined until a wall time."""

    fingerprint: str
    deaths: int
    quarantined_until: float = 0


class SuspectCleared(Struct, frozen=True):
    """A suspect ran to its end; ``deaths`` is the number known at its start.

    A death that was counted meanwhile keeps it a suspect.
    """

    fingerprint: str
    deaths: int


class SuspectQuery(Struct, frozen=True):
    """Ask for the suspects; ``revision`` is the one that the asker has."""

    process: str = ''
    revision: int = -1


class SuspectList(Struct, frozen=True):
    """All suspects, with the revision of the list.

    In answer to a query it is empty when the asker has that revision already.
    """

    revision: int
    suspects: tuple[Suspect, ...] = ()
