"""The lease that a request needs while it is suspected of killing upstreams.

The lease is a committed fence on the request's fingerprint, so that only one
entry runs it at a time. It covers the request's full duration and needs no
renewal: an entry that is cut off from control cannot exceed it. It is released
early only after an attempt that is known to have ended without harm. After a
death, or after an attempt whose end was not observed, the lease expires by
itself: by then the death has been counted and the attempt's deadline has
passed. Performs no I/O.
"""

from __future__ import annotations

from snipebend.state.fences import SUSPECT_PREFIX, FenceReply, FenceRequest

#: Seconds that a lease outlasts its request, so that a last death is reported
#: before another entry runs the request.
DEATH_REPORT_GRACE_S = 5.0


class SuspectLease:
    """Decides whether an attempt can start and when the lease is released."""

    def __init__(
        self, fingerprint: str, holder: str, deadline_at: float
    ) -> None:
        """Create a lease that is not held.

        ``holder`` is unique to this request; ``deadline_at`` is wall time.
        """
        self.fingerprint = fingerprint
        self.expires_at = deadline_at + DEATH_REPORT_GRACE_S
        self._holder = holder
        self._is_requested = False
        self._is_held = False
        self._is_in_doubt = False
        self._has_killed = False

    @property
    def is_held(self) -> bool:
        """Return whether the lease was granted."""
        return self._is_held

    @property
    def has_killed(self) -> bool:
        """Return whether the upstream died in the last attempt."""
        return self._has_killed

    def build_request(self) -> FenceRequest:
        """Return the request to acquire the lease."""
        self._is_requested = True
        return self._request(releases=False)

    def apply_reply(self, reply: FenceReply, now: float) -> float:
        """Apply the reply; return the seconds left of another's lease."""
        self._is_held = reply.granted
        return 0 if reply.granted else max(0, reply.lease_until - now)

    def blocked_for(self, now: float) -> float:
        """Return the seconds until another attempt is allowed.

        An attempt that may still run blocks the next one.
        """
        return max(0, self.expires_at - now) if self._is_in_doubt else 0

    def record_start(self) -> None:
        """Record that an attempt is being sent."""
        self._is_in_doubt = True

    def record_not_run(self) -> None:
        """Record that the attempt never ran."""
        self._is_in_doubt = False

    def record_served(self) -> None:
        """Record that the attempt ran to its end, which clears the request."""
        self._is_in_doubt = False
        self._has_killed = False

    def record_death(self) -> None:
        """Record that the upstream died in the attempt."""
        self._is_in_doubt = False
        self._has_killed = True

    def build_release(self) -> FenceRequest | None:
        """Return the request to release the lease; None if it must expire."""
        if not self._is_requested or self._is_in_doubt or self._has_killed:
            return None
        return self._request(releases=True)

    def _request(self, *, releases: bool) -> FenceRequest:
        return FenceRequest(
            f'{SUSPECT_PREFIX}{self.fingerprint}',
            self._holder,
            self.expires_at,
            releases=releases,
        )
