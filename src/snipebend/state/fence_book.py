"""The rules by which fences are taken and renewed (pure)."""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

from snipebend.state.fences import (
    SUSPECT_PREFIX,
    FenceReply,
    FenceRequest,
)


class FenceBook(Struct):
    """The fence in force of each group; a number is never used twice."""

    fences: dict[str, FenceReply] = {}

    def take(self, req: FenceRequest, now: float) -> FenceReply:
        """Grant a new fence, unless another holder's lease still runs.

        The holder in force that names its fence in ``renews`` keeps the number
        and gets a longer lease. A holder that lost its number, by a restart,
        gets a new one at once, but its former life's orders may still be on
        their way: ``not_before`` tells until when.
        """
        if req.releases:
            return self._release(req, now)
        if req.group.startswith(SUSPECT_PREFIX):
            self._forget_suspects(now)
        standing = self.read(req.group)
        if _is_renewal(req, standing):
            return self._keep(req, standing.fence, standing.not_before)
        if standing.holder != req.holder and standing.lease_until > now:
            return standing
        return self._keep(req, standing.fence + 1, standing.lease_until)

    def read(self, group: str) -> FenceReply:
        """Return the fence in force; 0 without a holder: none yet."""
        standing = self.fences.get(group)
        return standing or FenceReply(
            granted=False, fence=0, holder='', lease_until=0
        )

    def _release(self, req: FenceRequest, now: float) -> FenceReply:
        standing = self.read(req.group)
        if standing.fence and standing.holder == req.holder:
            until = min(now, standing.lease_until)
            standing = replace(standing, lease_until=until)
            self.fences[req.group] = standing
        return standing

    def _forget_suspects(self, now: float) -> None:
        """Drop the ended leases of suspects, whose numbers nobody checks."""
        ended = [
            group
            for group, standing in self.fences.items()
            if group.startswith(SUSPECT_PREFIX) and standing.lease_until <= now
        ]
        for group in ended:
            self.fences.pop(group)

    def _keep(
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


def _is_renewal(req: FenceRequest, standing: FenceReply) -> bool:
    if not standing.fence or req.renews != standing.fence:
        return False
    return req.holder == standing.holder
