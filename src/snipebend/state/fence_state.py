"""State and rules of fences and their leases; performs no I/O."""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from snipebend.state.fences import (
    SUSPECT_PREFIX,
    FenceReply,
    FenceRequest,
)


class FenceState(Struct):
    """The fence in force of each group; a fence number is never reused."""

    fences: dict[str, FenceReply] = {}

    def take(self, req: FenceRequest, now: float) -> FenceReply:
        """Grant a new fence unless another holder's lease has not expired.

        The current holder keeps its number and gets a longer lease if it passes
        the fence in ``renews``. A holder that lost its number in a restart gets
        a new one at once, but orders of its previous incarnation may still be
        in transit until ``not_before``.
        """
        if req.releases:
            return self._release(req, now)
        if req.group.startswith(SUSPECT_PREFIX):
            self._drop_expired_suspects(now)
        current = self.read(req.group)
        if _is_renewal(req, current):
            return self._grant(req, current.fence, current.not_before)
        if current.holder != req.holder and current.lease_until > now:
            return current
        return self._grant(req, current.fence + 1, current.lease_until)

    def read(self, group: str) -> FenceReply:
        """Return the fence in force; number 0 if there is none yet."""
        current = self.fences.get(group)
        return current or FenceReply(
            granted=False, fence=0, holder='', lease_until=0
        )

    def _release(self, req: FenceRequest, now: float) -> FenceReply:
        current = self.read(req.group)
        if current.fence and current.holder == req.holder:
            until = min(now, current.lease_until)
            current = replace(current, lease_until=until)
            self.fences[req.group] = current
        return current

    def _drop_expired_suspects(self, now: float) -> None:
        """Drop expired leases of suspects; their numbers are not checked."""
        expired = [
            group
            for group, current in self.fences.items()
            if group.startswith(SUSPECT_PREFIX) and current.lease_until <= now
        ]
        for group in expired:
            self.fences.pop(group)

    def _grant(
        self, req: FenceRequest, fence: int, not_before: float
    ) -> FenceReply:
        lease_until = max(req.lease_until, self.read(req.group).lease_until)
        reply = FenceReply(
            granted=False,
            fence=fence,
            holder=req.holder,
            lease_until=lease_until,
            not_before=not_before,
        )
        self.fences[req.group] = reply
        return FenceReply(
            granted=True,
            fence=fence,
            holder=req.holder,
            lease_until=lease_until,
            not_before=not_before,
        )


def _is_renewal(req: FenceRequest, current: FenceReply) -> bool:
    if not current.fence or req.renews != current.fence:
        return False
    return req.holder == current.holder
