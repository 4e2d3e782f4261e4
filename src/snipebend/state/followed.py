"""A process's copy of the configuration, and how long it may trust it (pure).

A copy is trusted until its lease ends: ``config_lease_s`` after the latest
moment at which it was surely the newest. That moment is counted on this
process's clock from when it opened the watch, plus what the sender says has
passed since the watch arrived, minus the age of the sender's own confirmation.
A message that was delayed on its way therefore brings no longer lease.
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


class Taken(Enum):
    """What became of a message."""

    SAME = 'same'
    NEWER = 'newer'
    #: It doesn't fit this copy: the whole text is needed.
    MISSED = 'missed'


class FollowedConfiguration:
    """The newest configuration seen; its revision only grows."""

    def __init__(self) -> None:
        """Start with none."""
        self.revision = 0
        self.index: FleetIndex | None = None
        self.lease_until = -math.inf

    def take(self, message: Configuration, opened_at: float) -> Taken:
        """Take in a message of a watch that was opened at that time."""
        taken = Taken.SAME
        if message.revision > self.revision:
            fleet = self._read(message)
            if fleet is None:
                return Taken.MISSED
            self.index = FleetIndex(fleet)
            self.revision = message.revision
            taken = Taken.NEWER
        self._renew(message, opened_at)
        return taken

    def lapsed(self, now: float) -> bool:
        """Tell whether the copy may be outdated."""
        return now >= self.lease_until

    def _read(self, message: Configuration) -> Fleet | None:
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

    def _renew(self, message: Configuration, opened_at: float) -> None:
        if message.confirmed_ago_s < 0 or self.index is None:
            return
        current_at = opened_at + message.elapsed_s - message.confirmed_ago_s
        lease_s = self.index.fleet.routing.config_lease_s
        self.lease_until = max(self.lease_until, current_at + lease_s)
