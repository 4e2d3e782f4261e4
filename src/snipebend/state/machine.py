"""The replicated state machine: commands in, replies out (pure).

It depends on nothing but its commands, so that all members that execute the
same ones hold the same state and give the same replies.
"""

from __future__ import annotations

from msgspec import Struct, field, msgpack

from snipebend.state.claim_book import ClaimBook
from snipebend.state.commands import (
    ApplyFleet,
    Claim,
    ClearSuspect,
    Command,
    DecideExpertMap,
    DecideGroupPlan,
    PutDocument,
    RecordUpstream,
    Reply,
    ReportCrash,
    Settle,
    TakeFence,
)
from snipebend.state.configuration import ConfigurationState
from snipebend.state.crash_book import CrashBook
from snipebend.state.documents import DocumentBook
from snipebend.state.expert_maps import MapBook
from snipebend.state.fence_book import FenceBook
from snipebend.state.group_plans import PlanBook
from snipebend.state.roster import Roster


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
    documents: DocumentBook = field(default_factory=DocumentBook)
    roster: Roster = field(default_factory=Roster)
    plans: PlanBook = field(default_factory=PlanBook)


class Machine:
    """Executes the commands of the log in their order."""

    def __init__(self, state: MachineState | None = None) -> None:
        """Start empty, or with the state of a snapshot."""
        self.state = state or MachineState()

    @classmethod
    def decode(cls, data: bytes) -> Machine:
        """Restore a snapshot; raises ``msgspec.DecodeError`` on damage."""
        return cls(msgpack.decode(data, type=MachineState))

    def encode(self) -> bytes:
        """Return a snapshot with all dedupe tables."""
        return msgpack.encode(self.state)

    def sizes(self) -> dict[str, int]:
        """Return the revision and how much the tables hold."""
        state = self.state
        ledgers = state.claims.ledgers.values()
        return {
            'revision': state.configuration.revision,
            'change_ids': len(state.configuration.answers),
            'claims': sum(len(ledger.claims) for ledger in ledgers),
            'answer_bytes': sum(ledger.answer_bytes for ledger in ledgers),
            'fences': len(state.fences.fences),
            'deaths': len(state.crashes.deaths),
            'document': state.documents.number,
            'upstreams': len(state.roster.upstreams),
        }

    def execute(self, command: Command) -> Reply:
        """Carry out one command; time in the state only grows."""
        state = self.state
        routing = state.configuration.routing
        state.now = max(state.now, command.at)
        state.claims.expire(state.now)
        state.crashes.expire(state.now)
        match command:
            case ApplyFleet(req=req):
                return state.configuration.apply(req, state.now)
            case Claim(req=req):
                return state.claims.claim(req, state.now)
            case Settle(req=req):
                return state.claims.settle(req, routing.answer_bytes)
            case TakeFence(req=req):
                return state.fences.take(req, state.now)
            case ReportCrash(req=req):
                return state.crashes.report(
                    req,
                    state.now,
                    routing.crash_limit,
                    routing.quarantine_s,
                )
            case ClearSuspect(req=req):
                return state.crashes.clear(req, state.now)
            case DecideExpertMap(req=req):
                fence = state.fences.read(req.group).fence
                return state.maps.decide(req, fence)
            case _:
                return self._execute_for_hosts(command)

    def _execute_for_hosts(
        self, command: PutDocument | RecordUpstream | DecideGroupPlan
    ) -> Reply:
        """Carry out a command of entries that route by host and path."""
        match command:
            case PutDocument(req=req):
                return self.state.documents.put(req)
            case RecordUpstream(req=req):
                return self.state.roster.record(req)
            case DecideGroupPlan(req=req):
                return self.state.plans.decide(req)
