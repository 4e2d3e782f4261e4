"""Suspects: requests that were running when an upstream died.

A suspect runs alone, on the one upstream that all entries derive from its
fingerprint, so that a second crash proves its guilt and an innocent request
is cleared by its own answer. Quarantined ones are refused until a deadline.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from xxhash import xxh3_128

from snipebend.hashing.rendezvous import heaviest

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from snipebend.routing.views import SuspectView

#: Suspects that an entry remembers on its own evidence.
MAX_LOCAL = 4096
#: One in this many upstreams is set aside for suspects, while there are any.
LANE_SHARE = 8
#: Time after a death for which all entries keep other work off the lanes.
LANE_HOLD_S = 5.0
#: Time that a suspect waits for others' work to leave its upstream; from then
#: on only the agent, which is told to run it alone, can keep it apart.
LANE_PATIENCE_S = 0.5
_LANES = 'suspect-lanes'


class Reservation(NamedTuple):
    """The ticket that has an upstream for itself, since a moment."""

    ticket: int
    since: float


def fingerprint_of(workspace: str, path: str, body: bytes) -> str:
    """Hash what makes a resend the same request, in 32 hexadecimal digits.

    The lengths keep the parts apart. xxh3 isn't proof against an attacker; a
    collision only makes a request of the same workspace run alone.
    """
    digest = xxh3_128()
    for part in (workspace.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def choose_lanes(names: Sequence[str]) -> list[str]:
    """Return the upstreams that suspects run on: an eighth, at least one."""
    return heaviest(names, _LANES, max(1, len(names) // LANE_SHARE))


class Quarantine:
    """The shared suspects, this entry's own evidence, and who runs where."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._shared: dict[str, SuspectView] = {}
        self._local: OrderedDict[str, None] = OrderedDict()
        self._cleared: OrderedDict[str, int] = OrderedDict()
        self._reserved: dict[str, Reservation] = {}
        self._hold_until = float('-inf')
        self._news = False

    @property
    def reserved(self) -> dict[str, Reservation]:
        """Return the ticket that has an upstream for itself, by upstream."""
        return self._reserved

    @property
    def suspects(self) -> dict[str, float]:
        """Return each suspect with the end of its quarantine, or zero."""
        shared = {
            name: one.quarantined_until for name, one in self._shared.items()
        }
        return {**dict.fromkeys(self._local, float()), **shared}

    def update(self, suspects: Iterable[SuspectView]) -> None:
        """Replace the suspects that the control daemons share."""
        before = self._shared
        self._shared = {one.fingerprint: one for one in suspects}
        self._news = self._news or any(
            one.deaths > _deaths(before.get(one.fingerprint))
            for one in self._shared.values()
        )

    def accuse(self, fingerprints: Iterable[str]) -> None:
        """Suspect what ran on an upstream that this entry saw die."""
        for fingerprint in filter(None, fingerprints):
            self._news = True
            self._local[fingerprint] = None
            self._cleared.pop(fingerprint, None)
            if len(self._local) > MAX_LOCAL:
                self._local.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Clear a suspect that was served, until it meets another death."""
        if not self.is_suspect(fingerprint):
            return
        self._local.pop(fingerprint, None)
        shared = self._shared.get(fingerprint)
        if shared is not None:
            self._cleared[fingerprint] = shared.deaths
        if len(self._cleared) > MAX_LOCAL:
            self._cleared.popitem(last=False)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request has to run alone."""
        if fingerprint in self._local:
            return True
        shared = self._shared.get(fingerprint)
        if shared is None or shared.deaths < 1:
            return False
        return shared.deaths > self._cleared.get(fingerprint, 0)

    def deaths_of(self, fingerprint: str) -> int:
        """Return the deaths in the shared list."""
        return _deaths(self._shared.get(fingerprint))

    def blocked_until(self, fingerprint: str, now: float) -> float | None:
        """Return the end of a quarantine that holds now."""
        shared = self._shared.get(fingerprint)
        if shared is None or shared.quarantined_until <= now:
            return None
        return shared.quarantined_until

    def holds_lanes(self, now: float) -> bool:
        """Tell whether other work has to stay off the lanes."""
        if self._news:
            self._news = False
            self._hold_until = now + LANE_HOLD_S
        return now < self._hold_until

    def reserve(
        self,
        ticket: int,
        fingerprint: str,
        names: Sequence[str],
        now: float,
    ) -> str | None:
        """Return the upstream for a suspect, or None while it is taken."""
        if not names:
            return None
        since = self.release(ticket)
        lane = heaviest(choose_lanes(names), fingerprint, 1)[0]
        if lane in self._reserved:
            return None
        self._reserved[lane] = Reservation(
            ticket, now if since is None else since
        )
        return lane

    def is_patient(self, lane: str, now: float) -> bool:
        """Tell whether a lane's suspect waits for others' work to leave."""
        return now < self._reserved[lane].since + LANE_PATIENCE_S

    def release(self, ticket: int) -> float | None:
        """Give a ticket's upstream back; return since when it had it."""
        for upstream, holder in self._reserved.items():
            if holder.ticket == ticket:
                self._reserved.pop(upstream)
                return holder.since
        return None


def _deaths(suspect: SuspectView | None) -> int:
    return suspect.deaths if suspect else 0
