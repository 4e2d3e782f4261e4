"""The replicated state machine: commands in, replies out (pure).

It depends on nothing but its commands, so that all members that execute the
same ones hold the same state and give the same replies.
"""

from __future__ import annotations

from msgspec import Struct, field, msgpack

from snipebend.fleet.model import RoutingPolicy
from snipebend.fleet.parsing import parse_fleet
from snipebend.state.claim_book import ClaimBook
from snipebend.state.commands import (
    ApplyFleet,
    Claim,
    ClearSuspect,
    Command,
    DecideExpertMap,
    Reply,
    ReportCrash,
    Settle,
    TakeFence,
)
from snipebend.state.configuration import ConfigurationState
from snipebend.state.crash_book import CrashBook
from snipebend.state.expert_maps import MapBook
from snipebend.state.fence_book import FenceBook
from snipebend.state.messages import ApplyReply, ApplyRequest


class MachineState(Struct):
    """All that a snapshot holds; ``now`` is the latest time of a command."""

    now: float = 0
    configuration: ConfigurationState = field(
        default_factory=ConfigurationState,
    )
    claims: ClaimBook = field(default_factory=ClaimBook)
    fences: FenceBook = field(default_factory=FenceBook)
    crashes: CrashBook = field(default_factory=CrashBook)
    maps: MapBook = field(default_factory=MapBook)


class Machine:
    """Executes the commands of the log in their order."""

    def __init__(self, state: MachineState | None = None) -> None:
        """Start empty, or with the state of a snapshot."""
        self.state = state or MachineState()
        self._routing = _routing(self.state.configuration.text)

    @classmethod
    def decode(cls, data: bytes) -> Machine:
        """Restore a snapshot; raises ``msgspec.DecodeError`` on damage."""
        return cls(msgpack.decode(data, type=MachineState))

    def encode(self) -> bytes:
        """Return a snapshot with all dedupe tables."""
        return msgpack.encode(self.state)

    def execute(self, command: Command) -> Reply:
        """Carry out one command; time in the state only grows."""
        state = self.state
        state.now = max(state.now, command.at)
        state.claims.expire(state.now)
        state.crashes.expire(state.now)
        match command:
            case ApplyFleet(req=req):
                return self._apply(req)
            case Claim(req=req):
                return state.claims.claim(req, state.now)
            case Settle(req=req):
                return state.claims.settle(req, self._routing.answer_bytes)
            case TakeFence(req=req):
                return state.fences.take(req, state.now)
            case ReportCrash(req=req):
                return state.crashes.report(
                    req,
                    state.now,
                    self._routing.crash_limit,
                    self._routing.quarantine_s,
                )
            case ClearSuspect(req=req):
                return state.crashes.clear(req, state.now)
            case DecideExpertMap(req=req):
                fence = state.fences.read(req.group).fence
                return state.maps.decide(req, fence)

    def _apply(self, req: ApplyRequest) -> ApplyReply:
        configuration = self.state.configuration
        before = configuration.revision
        reply = configuration.apply(req, self.state.now)
        if configuration.revision > before:
            self._routing = _routing(configuration.text)
        return reply


def _routing(text: str) -> RoutingPolicy:
    parsed = parse_fleet(text, 'state')
    if parsed.is_err():
        return RoutingPolicy()
    return parsed.unwrap().routing
