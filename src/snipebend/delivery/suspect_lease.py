"""One request's right to run while it is suspected of killing upstreams (pure).

The lease is a committed fence of the request's fingerprint, so that one entry
at a time runs it. It lasts for the request's whole time and needs no renewal:
an entry that is cut off from control can't outlive it. It is given back early
only after an attempt that is known to have ended without harm. After a death,
or an attempt whose end nobody saw, it runs out: by then the death is counted
and the attempt's own deadline has passed.
"""

from __future__ import annotations

from snipebend.state.fences import SUSPECT_PREFIX, FenceReply, FenceRequest

#: Seconds that a lease outlasts its request, for the news of a last death.
NEWS_S = 5.0


class SuspectLease:
    """Decides whether an attempt may start and when the lease is given back."""

    def __init__(
        self, fingerprint: str, holder: str, deadline_at: float
    ) -> None:
        """Hold nothing; ``holder`` is this request's alone, in wall time."""
        self.fingerprint = fingerprint
        self.expires_at = deadline_at + NEWS_S
        self._holder = holder
        self._asked = False
        self._held = False
        self._is_open = False
        self._killed = False

    @property
    def is_held(self) -> bool:
        """Tell whether the lease was granted."""
        return self._held

    @property
    def has_killed(self) -> bool:
        """Tell whether the last attempt ended with its upstream."""
        return self._killed

    def ask(self) -> FenceRequest:
        """Return the question for the lease."""
        self._asked = True
        return self._request(releases=False)

    def answered(self, reply: FenceReply, now: float) -> float:
        """Take the answer; return the seconds that another's lease runs."""
        self._held = reply.granted
        return 0 if reply.granted else max(0, reply.lease_until - now)

    def blocked_for(self, now: float) -> float:
        """Return the seconds for which an attempt in doubt bars the next."""
        return max(0, self.expires_at - now) if self._is_open else 0

    def note_start(self) -> None:
        """Note that an attempt is handed over."""
        self._is_open = True

    def note_end(self) -> None:
        """Note that the attempt never ran."""
        self._is_open = False

    def note_served(self) -> None:
        """Note that the attempt ran to its end, which clears the request."""
        self._is_open = False
        self._killed = False

    def note_death(self) -> None:
        """Note that the attempt ended with its upstream."""
        self._is_open = False
        self._killed = True

    def give_back(self) -> FenceRequest | None:
        """Return the release; None where the lease has to run out."""
        if not self._asked or self._is_open or self._killed:
            return None
        return self._request(releases=True)

    def _request(self, *, releases: bool) -> FenceRequest:
        return FenceRequest(
            f'{SUSPECT_PREFIX}{self.fingerprint}',
            self._holder,
            self.expires_at,
            releases=releases,
        )
