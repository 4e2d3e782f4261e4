"""The replicated state machine: executes commands; performs no I/O.

It depends only on its commands, so that all members that execute the same
commands have the same state and return the same replies.
"""

from __future__ import annotations

from msgspec import Struct, field, msgpack

from snipebend.state.claim_state import ClaimState
from snipebend.state.commands import (
    ApplyFleet,
    ChangeEvacuation,
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
from snipebend.state.crash_state import CrashState
from snipebend.state.documents import DocumentState
from snipebend.state.evacuations import EvacuationState
from snipebend.state.expert_maps import MapState
from snipebend.state.fence_state import FenceState
from snipebend.state.group_plans import PlanState
from snipebend.state.roster import Roster


class MachineState(Struct):
    """The contents of a snapshot; ``now`` is the latest command time."""

    now: float = 0
    configuration: ConfigurationState = field(
        default_factory=ConfigurationState,
    )
    claims: ClaimState = field(default_factory=ClaimState)
    fences: FenceState = field(default_factory=FenceState)
    crashes: CrashState = field(default_factory=CrashState)
    maps: MapState = field(default_factory=MapState)
    documents: DocumentState = field(default_factory=DocumentState)
    roster: Roster = field(default_factory=Roster)
    plans: PlanState = field(default_factory=PlanState)
    evacuations: EvacuationState = field(default_factory=EvacuationState)


class Machine:
    """Executes the commands of the log in order."""

    def __init__(self, state: MachineState | None = None) -> None:
        """Create a machine with an empty state, or with that of a snapshot."""
        self.state = state or MachineState()

    @classmethod
    def decode(cls, data: bytes) -> Machine:
        """Restore a snapshot; raises ``msgspec.DecodeError`` if invalid."""
        return cls(msgpack.decode(data, type=MachineState))

    def encode(self) -> bytes:
        """Return a snapshot, including the tables for deduplication."""
        return msgpack.encode(self.state)

    def sizes(self) -> dict[str, int]:
        """Return the revision and the sizes of the tables."""
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
        """Execute a command; the time of the state never decreases."""
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
        self,
        command: (
            PutDocument | RecordUpstream | DecideGroupPlan | ChangeEvacuation
        ),
    ) -> Reply:
        """Execute a command of entries that route by host and path."""
        match command:
            case PutDocument(req=req):
                return self.state.documents.put(req)
            case RecordUpstream(req=req):
                return self.state.roster.record(req)
            case DecideGroupPlan(req=req):
                return self.state.plans.decide(req)
            case ChangeEvacuation(req=req):
                return self.state.evacuations.execute(req, self.state.now)
