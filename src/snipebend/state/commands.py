"""The commands of the replicated state machine, as encoded in the log.

Each contains the leader's wall time ``at`` in seconds: the state machine reads
no clock, so that all members compute the same state.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import Any

from msgspec import Struct, msgpack

from snipebend.state.claims import (
    ClaimReply,
    ClaimRequest,
    SettleReply,
    SettleRequest,
)
from snipebend.state.crashes import CrashReport, SuspectCleared, SuspectList
from snipebend.state.documents import PutReply, PutRequest
from snipebend.state.evacuations import EvacuationOrder, EvacuationReply
from snipebend.state.expert_maps import DecideMapReply, MapDecision
from snipebend.state.fences import FenceReply, FenceRequest
from snipebend.state.group_plans import PlanReply, PlanRequest
from snipebend.state.messages import ApplyReply, ApplyRequest
from snipebend.state.roster import RecordReply, RecordRequest


class ApplyFleet(Struct, frozen=True, tag=True):
    """Put a fleet file in force."""

    req: ApplyRequest
    at: float


class Claim(Struct, frozen=True, tag=True):
    """Claim an idempotency key."""

    req: ClaimRequest
    at: float


class Settle(Struct, frozen=True, tag=True):
    """Record the outcome of the attempt that holds a key."""

    req: SettleRequest
    at: float


class TakeFence(Struct, frozen=True, tag=True):
    """Take or renew a group's fence."""

    req: FenceRequest
    at: float


class ReportCrash(Struct, frozen=True, tag=True):
    """Record the crash of an upstream."""

    req: CrashReport
    at: float


class ClearSuspect(Struct, frozen=True, tag=True):
    """Clear a suspect request that ran to completion."""

    req: SuspectCleared
    at: float


class DecideExpertMap(Struct, frozen=True, tag=True):
    """Change the expert map record of a group."""

    req: MapDecision
    at: float


class PutDocument(Struct, frozen=True, tag=True):
    """Put a numbered document in force."""

    req: PutRequest
    at: float


class RecordUpstream(Struct, frozen=True, tag=True):
    """Record an upstream in the roster."""

    req: RecordRequest
    at: float


class DecideGroupPlan(Struct, frozen=True, tag=True):
    """Decide the next expert map of a group of engines."""

    req: PlanRequest
    at: float


class ChangeEvacuation(Struct, frozen=True, tag=True):
    """Evacuate a data centre, or end its evacuation."""

    req: EvacuationOrder
    at: float


Command = (
    ApplyFleet
    | Claim
    | Settle
    | TakeFence
    | ReportCrash
    | ClearSuspect
    | DecideExpertMap
    | PutDocument
    | RecordUpstream
    | DecideGroupPlan
    | ChangeEvacuation
)

Reply = (
    ApplyReply
    | ClaimReply
    | SettleReply
    | FenceReply
    | SuspectList
    | DecideMapReply
    | PutReply
    | RecordReply
    | PlanReply
    | EvacuationReply
)

#: The reply type of each command, to decode a reply from the leader.
REPLY_TYPES: MappingProxyType[type, Any] = MappingProxyType(
    {
        ApplyFleet: ApplyReply,
        Claim: ClaimReply,
        Settle: SettleReply,
        TakeFence: FenceReply,
        ReportCrash: SuspectList,
        ClearSuspect: SuspectList,
        DecideExpertMap: DecideMapReply,
        PutDocument: PutReply,
        RecordUpstream: RecordReply,
        DecideGroupPlan: PlanReply,
        ChangeEvacuation: EvacuationReply,
    }
)

_decoder: msgpack.Decoder[Command] = msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Encode a command for the log or for the leader."""
    return msgpack.encode(command)


def decode_command(payload: bytes) -> Command:
    """Decode a command; raises ``msgspec.DecodeError`` if it is invalid."""
    return _decoder.decode(payload)


def decode_reply(command: Command, payload: bytes) -> Reply:
    """Decode the reply to a command."""
    reply: Reply = msgpack.decode(payload, type=REPLY_TYPES[type(command)])
    return reply
