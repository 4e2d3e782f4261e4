"""Limits the calls of an entry to upstreams that are cold.

Performs no I/O. An upstream counts as cold until a control daemon has heard
that it is warm, since one that has just started, or was silent, may be. Calls
to warm upstreams are counted too: they are part of the second in which one
turns cold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.relay.part_table import PartTable
from snipebend.relay.reported_warmth import ReportedWarmth
from snipebend.relay.token_account import TokenAccount
from snipebend.state.warmth import SILENT_AFTER_S, Warmth

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.relay.cold_parts import CallPart
    from snipebend.relay.upstreams import Upstream

#: Seconds for which an upstream counts as cold after it failed to respond: by
#: then its daemon has heard it again, or has withdrawn its report.
DOUBT_S = SILENT_AFTER_S + 1.0

#: Seconds in which a cold upstream's limit of calls applies.
LIMIT_WINDOW_S = 1.0


class ColdUpstreams:
    """Which upstreams are cold, and what may still be sent to them."""

    def __init__(self, max_send_delay_s: float) -> None:
        """Create a table without limits.

        ``max_send_delay_s`` is the longest time between the choice of an
        upstream, when the call is counted, and its first byte.
        """
        self.warmth = ReportedWarmth()
        self._max_send_delay_s = max_send_delay_s
        self._window_s = LIMIT_WINDOW_S + max_send_delay_s
        #: The parts of this entry, and what is known of the others.
        self.parts = PartTable(self._window_s)
        #: Calls a second to a cold upstream of each service that has a limit.
        self.limits: Mapping[str, int] = {}
        self._accounts: dict[str, TokenAccount] = {}
        #: Until when upstreams, and those of a data centre, count as cold.
        self._doubted_until: dict[str, float] = {}
        self._data_centers_doubted_until: dict[str, float] = {}

    def update_limits(self, limits: Mapping[str, int]) -> None:
        """Replace the limits; other services have no cold upstreams."""
        if limits != self.limits:
            self.limits = limits
            self.parts.clear()

    def doubt(self, upstream: str, now: float) -> None:
        """Count an upstream as cold, since it has not responded."""
        self._doubted_until[upstream] = now + DOUBT_S

    def forget_data_center(self, data_center: str, now: float) -> None:
        """Count a data centre's upstreams as cold until they are heard."""
        self._data_centers_doubted_until[data_center] = now + DOUBT_S

    def is_cold(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream may be cold."""
        record = upstream.record
        if record.service not in self.limits:
            return False
        report = self.warmth.find(record.identity)
        if report is None or report.warmth is not Warmth.WARM:
            return True
        if report.born and record.born and report.born != record.born:
            return True
        return now < max(
            self._doubted_until.get(record.identity, 0),
            self._data_centers_doubted_until.get(record.data_center, 0),
        )

    def has_room(self, upstream: Upstream, now: float) -> bool:
        """Return whether this entry may call a cold upstream now."""
        part = self._find_part(upstream, now)
        return part.calls > 0 and self._refill(upstream, part, now).has_room()

    def seconds_until_room(self, upstream: Upstream, now: float) -> float:
        """Return seconds until this entry may call a cold upstream; 0: now.

        An entry without a part in its calls gets one when others are gone, or
        the upstream becomes warm; a window is then the shortest useful wait.
        """
        part = self._find_part(upstream, now)
        if not part.calls:
            return self._window_s
        account = self._refill(upstream, part, now)
        return account.seconds_until_room(part.per_s)

    def record_call(self, upstream: Upstream, now: float) -> None:
        """Deduct a call to an upstream, warm or cold."""
        if upstream.record.service not in self.limits:
            return
        part = self._find_part(upstream, now)
        account = self._refill(upstream, part, now)
        account.balance = max(-part.max_debt, account.balance - 1)

    def is_overdue(
        self, upstream: Upstream, chosen_at: float, now: float
    ) -> bool:
        """Return whether a call would reach a cold upstream too late to send.

        The window in which it was counted is over, as after a process was
        frozen; calls chosen since then may be sent beside it.
        """
        if now <= chosen_at + self._max_send_delay_s:
            return False
        return self.is_cold(upstream, now)

    def return_call(self, upstream: Upstream, now: float) -> None:
        """Give back a call that reached another incarnation."""
        if upstream.record.identity in self._accounts:
            part = self._find_part(upstream, now)
            account = self._refill(upstream, part, now)
            account.balance = min(part.saved_calls, account.balance + 1)

    def remove(self, upstream: str) -> None:
        """Remove an incarnation that has ended."""
        self._accounts.pop(upstream, None)
        self.parts.remove(upstream)
        self._doubted_until.pop(upstream, None)

    def dump(self) -> dict[str, object]:
        """Return the limits, the entries known and the calls left."""
        fleet = self.parts.fleet
        return {
            'limits': dict(self.limits),
            'entries': max(fleet.size, len(fleet.others) + 1),
            'settled': fleet.is_settled,
            'reported': self.warmth.count(),
            'left': {
                upstream: round(account.balance, 2)
                for upstream, account in self._accounts.items()
            },
        }

    def _find_part(self, upstream: Upstream, now: float) -> CallPart:
        record = upstream.record
        total_calls = self.limits.get(record.service, 0)
        return self.parts.find(record.identity, total_calls, now)

    def _refill(
        self, upstream: Upstream, part: CallPart, now: float
    ) -> TokenAccount:
        identity = upstream.record.identity
        account = self._accounts.get(identity)
        if account is None:
            # A former process of this entry may have called it just before.
            saved = part.saved_calls if self.parts.fleet.is_settled else 0
            account = TokenAccount(now, saved)
            self._accounts[identity] = account
        account.refill(now, part.per_s, part.saved_calls)
        return account
