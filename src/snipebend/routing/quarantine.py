"""Isolation of suspects: requests that were running when an upstream died.

A suspect runs alone on a lane, an upstream set aside for suspects. All entries
derive the same lane from its fingerprint. A second crash then proves that the
suspect is the cause, and a harmless request is cleared when it is served.
Quarantined suspects are refused until the end of their quarantine.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh3_128

from snipebend.hashing.rendezvous import select_heaviest

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from snipebend.routing.messages import RoutingRequest
    from snipebend.routing.views import SuspectView

#: Maximum number of suspects that an entry tracks from its own observations.
MAX_LOCAL_SUSPECTS = 4096
#: One in this many upstreams is a lane while there are suspects.
LANE_DIVISOR = 8
#: Time after a death for which all entries keep other requests off the lanes.
LANE_HOLD_S = 5.0
#: Maximum time for which a suspect waits until its lane runs no requests of
#: other entries. After that it is sent anyway, and the agent refuses it while
#: the upstream runs another attempt.
LANE_IDLE_TIMEOUT_S = 0.5
_LANES = 'suspect-lanes'


class Reservation(NamedTuple):
    """The ticket that an upstream is reserved for, and since when."""

    ticket: int
    since: float


def fingerprint_of(workspace: str, path: str, body: bytes) -> str:
    """Return the fingerprint that a request shares with its resends.

    It has 32 hexadecimal digits. Hashing the lengths separates the parts. xxh3
    does not resist deliberate collisions; a collision only makes a request of
    the same workspace run alone.
    """
    digest = xxh3_128()
    for part in (workspace.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def choose_lanes(names: Sequence[str]) -> list[str]:
    """Return the upstreams that are lanes: an eighth, at least one."""
    return select_heaviest(names, _LANES, max(1, len(names) // LANE_DIVISOR))


class Quarantine:
    """Tracks suspects and the upstreams that are reserved for them.

    Suspects come from the control daemons and from this entry's observations.
    """

    def __init__(self) -> None:
        """Create a quarantine without suspects."""
        self._shared_suspects: dict[str, SuspectView] = {}
        self._local_suspects: OrderedDict[str, None] = OrderedDict()
        self._cleared_deaths: OrderedDict[str, int] = OrderedDict()
        self._reserved: dict[str, Reservation] = {}
        self._hold_until = float('-inf')
        self._has_new_deaths = False

    @property
    def reserved(self) -> dict[str, Reservation]:
        """Return the reservations by upstream."""
        return self._reserved

    @property
    def suspects(self) -> dict[str, float]:
        """Return the end of each suspect's quarantine, zero for none."""
        shared = {
            name: one.quarantined_until
            for name, one in self._shared_suspects.items()
        }
        return {**dict.fromkeys(self._local_suspects, float()), **shared}

    def update(self, suspects: Iterable[SuspectView]) -> None:
        """Replace the suspects reported by the control daemons."""
        previous = self._shared_suspects
        self._shared_suspects = {one.fingerprint: one for one in suspects}
        self._has_new_deaths = self._has_new_deaths or any(
            one.deaths > _death_count(previous.get(one.fingerprint))
            for one in self._shared_suspects.values()
        )

    def mark_suspects(self, fingerprints: Iterable[str]) -> None:
        """Mark requests that ran on an upstream that died as suspects."""
        for fingerprint in filter(None, fingerprints):
            self._has_new_deaths = True
            self._local_suspects[fingerprint] = None
            self._cleared_deaths.pop(fingerprint, None)
            if len(self._local_suspects) > MAX_LOCAL_SUSPECTS:
                self._local_suspects.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Clear a served suspect until it is involved in another death."""
        if not self.is_suspect(fingerprint):
            return
        self._local_suspects.pop(fingerprint, None)
        shared = self._shared_suspects.get(fingerprint)
        if shared is not None:
            self._cleared_deaths[fingerprint] = shared.deaths
        if len(self._cleared_deaths) > MAX_LOCAL_SUSPECTS:
            self._cleared_deaths.popitem(last=False)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request has to run alone."""
        if fingerprint in self._local_suspects:
            return True
        shared = self._shared_suspects.get(fingerprint)
        if shared is None or shared.deaths < 1:
            return False
        return shared.deaths > self._cleared_deaths.get(fingerprint, 0)

    def death_count(self, fingerprint: str) -> int:
        """Return the number of deaths reported by the control daemons."""
        return _death_count(self._shared_suspects.get(fingerprint))

    def blocked_until(self, req: RoutingRequest, now: float) -> float | None:
        """Return the end of the quarantine in force, or None.

        Either the request is quarantined, or a part of its prompt.
        """
        shared = map(
            self._shared_suspects.get, (req.fingerprint, *req.part_keys)
        )
        ends = [one.quarantined_until for one in shared if one is not None]
        latest = max(ends, default=now)
        return latest if latest > now else None

    def keeps_lanes_free(self, now: float) -> bool:
        """Return whether other requests have to avoid the lanes."""
        if self._has_new_deaths:
            self._has_new_deaths = False
            self._hold_until = now + LANE_HOLD_S
        return now < self._hold_until

    def reserve(
        self,
        ticket: int,
        fingerprint: str,
        names: Sequence[str],
        now: float,
    ) -> str | None:
        """Reserve and return a suspect's lane; None while it is reserved."""
        if not names:
            return None
        since = self.release(ticket)
        lane = select_heaviest(choose_lanes(names), fingerprint, 1)[0]
        if lane in self._reserved:
            return None
        self._reserved[lane] = Reservation(
            ticket, now if since is None else since
        )
        return lane

    def is_waiting_for_idle(self, lane: str, now: float) -> bool:
        """Return whether a lane's suspect still waits for an idle upstream."""
        return now < self._reserved[lane].since + LANE_IDLE_TIMEOUT_S

    def release(self, ticket: int) -> float | None:
        """Release a ticket's reservation; return the time of its start."""
        for upstream, reservation in self._reserved.items():
            if reservation.ticket == ticket:
                self._reserved.pop(upstream)
                return reservation.since
        return None


def _death_count(suspect: SuspectView | None) -> int:
    return suspect.deaths if suspect else 0
