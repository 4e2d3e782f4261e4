"""Messages about expert map decisions, and the rules for them (pure)."""

from __future__ import annotations

from msgspec import Struct


class MapDecision(Struct, frozen=True):
    """From ``step`` on, all ranks of an incarnation use this map.

    ``digest`` identifies the map's content; ``placement`` may carry it.
    ``fence`` is the decider's fence; 0 leaves it unchecked.
    """

    group: str
    incarnation: int
    map_version: int
    step: int
    digest: str
    fence: int = 0
    placement: bytes = b''

    @property
    def rank(self) -> tuple[int, int]:
        """Return what must grow from decision to decision."""
        return (self.incarnation, self.map_version)


class DecideMapReply(Struct, frozen=True):
    """Whether the decision stands, and the one that does."""

    accepted: bool
    standing: MapDecision | None = None


class MapQuery(Struct, frozen=True):
    """Ask a quorum for a group's latest decision."""

    group: str


class MapBook(Struct):
    """The latest decision of each group."""

    decisions: dict[str, MapDecision] = {}

    def decide(self, req: MapDecision, fence: int) -> DecideMapReply:
        """Let a decision stand when it is newer and its fence is in force.

        A resend of the standing decision is accepted again; another content
        for the same incarnation and version is not.
        """
        standing = self.decisions.get(req.group)
        if standing == req:
            return DecideMapReply(accepted=True, standing=standing)
        if req.fence not in {0, fence} or not _follows(req, standing):
            return DecideMapReply(accepted=False, standing=standing)
        self.decisions[req.group] = req
        return DecideMapReply(accepted=True, standing=req)

    def read(self, group: str) -> DecideMapReply:
        """Return the latest decision, if any."""
        standing = self.decisions.get(group)
        return DecideMapReply(accepted=False, standing=standing)


def _follows(req: MapDecision, standing: MapDecision | None) -> bool:
    if standing is None:
        return True
    if req.rank <= standing.rank:
        return False
    return req.incarnation > standing.incarnation or req.step > standing.step
