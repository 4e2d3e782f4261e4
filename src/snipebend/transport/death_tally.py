"""Deaths of upstreams that an entry saw, until the shared count arrives."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

#: Seconds for which a death counts here; control knows it long before.
BRIDGE_S = 5.0

#: Requests that are remembered; the oldest is dropped first.
MAX_REQUESTS = 1024


class _Deaths(NamedTuple):
    total: int = 0
    alone: bool = False
    expires_at: float = 0


class DeathTally:
    """Counts by fingerprint, by the rule that the shared count follows.

    Only who was alone at a death at least once is barred, so that those who
    merely ran beside a killer never are.
    """

    def __init__(self) -> None:
        """Begin without deaths."""
        self._deaths: OrderedDict[str, _Deaths] = OrderedDict()

    def note(self, fingerprint: str, alone: bool, now: float) -> None:
        """Count a death."""
        known = self._find(fingerprint, now)
        self._deaths[fingerprint] = _Deaths(
            known.total + 1,
            known.alone or alone,
            now + BRIDGE_S,
        )
        if len(self._deaths) > MAX_REQUESTS:
            self._deaths.popitem(last=False)

    def bars(self, fingerprint: str, limit: int, now: float) -> bool:
        """Tell whether a request has done enough."""
        known = self._find(fingerprint, now)
        return known.alone and known.total >= limit

    def clear(self, fingerprint: str) -> None:
        """Forget what is counted against a request that was served."""
        self._deaths.pop(fingerprint, None)

    def _find(self, fingerprint: str, now: float) -> _Deaths:
        known = self._deaths.get(fingerprint, _Deaths())
        return known if known.expires_at > now else _Deaths()
