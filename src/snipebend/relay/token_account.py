"""An account of calls that fills at a rate, and from which calls are deducted.

Limits that upstreams announce and those of cold upstreams both use it. Performs
no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenAccount:
    """Calls that may begin, as of the last refill."""

    #: When the account was last refilled; monotonic seconds.
    refilled_at: float
    #: Calls that may begin now; negative after too many calls.
    balance: float = 0

    def refill(self, now: float, per_s: float, max_balance: float) -> None:
        """Refill the account up to the current time, at calls per second."""
        filled = self.balance + per_s * (now - self.refilled_at)
        self.balance = min(max_balance, filled)
        self.refilled_at = now

    def has_room(self) -> bool:
        """Return whether a call may begin, as of the last refill."""
        return self.balance >= 1

    def seconds_until_room(self, per_s: float) -> float:
        """Return seconds until a call may begin if no others are deducted."""
        return max(0, 1 - self.balance) / per_s
