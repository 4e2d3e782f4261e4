"""The gRPC methods that entries call on agents."""

from __future__ import annotations

from snipebend.delivery.messages import SealReply, SealRequest
from snipebend.transport.rpc import Method

SEAL = Method('/snipebend.Agent/Seal', SealRequest, SealReply)
