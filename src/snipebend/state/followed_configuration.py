"""A process's copy of the configuration, with a lease; performs no I/O.

The copy is valid until its lease expires: ``config_lease_s`` after the latest
time at which it was known to be current. On this process's clock that is the
time at which it opened the watch, plus the time that has passed on the sender
since the watch arrived, minus the age of the sender's own confirmation. A
message that is delayed in transit therefore does not extend the lease.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

from snipebend.fleet.delta import apply_delta, checksum
from snipebend.fleet.lookup import FleetIndex
from snipebend.fleet.parsing import parse_fleet

if TYPE_CHECKING:
    from snipebend.fleet.model import Fleet
    from snipebend.state.messages import Configuration


class UpdateResult(Enum):
    """The result of applying a message."""

    SAME = 'same'
    NEWER = 'newer'
    #: The message does not apply to this copy; the full text is needed.
    MISSED = 'missed'


class FollowedConfiguration:
    """The newest configuration received; its revision never decreases."""

    def __init__(self) -> None:
        """Create a copy that has not received a configuration."""
        self.revision = 0
        self.index: FleetIndex | None = None
        self.lease_until = -math.inf

    def apply(self, message: Configuration, opened_at: float) -> UpdateResult:
        """Apply a message of a watch that was opened at ``opened_at``."""
        result = UpdateResult.SAME
        if message.revision > self.revision:
            fleet = self._decode_fleet(message)
            if fleet is None:
                return UpdateResult.MISSED
            self.index = FleetIndex(fleet)
            self.revision = message.revision
            result = UpdateResult.NEWER
        self._renew_lease(message, opened_at)
        return result

    def is_expired(self, now: float) -> bool:
        """Return whether the lease has expired."""
        return now >= self.lease_until

    def _decode_fleet(self, message: Configuration) -> Fleet | None:
        if message.delta is not None:
            if self.index is None or message.base != self.revision:
                return None
            fleet = apply_delta(self.index.fleet, message.delta)
        else:
            parsed = parse_fleet(message.text, 'control')
            if parsed.is_err():
                return None
            fleet = parsed.unwrap()
        return fleet if checksum(fleet) == message.checksum else None

    def _renew_lease(self, message: Configuration, opened_at: float) -> None:
        if message.confirmed_ago_s < 0 or self.index is None:
            return
        current_at = opened_at + message.elapsed_s - message.confirmed_ago_s
        lease_s = self.index.fleet.routing.config_lease_s
        self.lease_until = max(self.lease_until, current_at + lease_s)
