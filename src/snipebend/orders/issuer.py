"""The holder's side of fenced orders: acquire, renew and write.

Performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from msgspec.structs import replace
from result import Err, Ok, Result

from snipebend.errors.hierarchy import UnavailableError
from snipebend.state.fences import FenceReply, FenceRequest

if TYPE_CHECKING:
    from snipebend.fleet.model import Fencing
    from snipebend.orders.messages import EngineOrder

_STEP = 'write order'


class IssuerConfig(NamedTuple):
    """Time limits of leases and orders, in seconds.

    A lease is acquired for ``lease_s`` and renewed once ``renew_s`` remain. An
    order is valid for at most ``order_s``. ``drift_s`` is the maximum
    difference between the clocks of two VMs.
    """

    lease_s: float = 6.0
    renew_s: float = 3.0
    order_s: float = 2.0
    drift_s: float = 0.5


class OrderIssuer:
    """A holder of one group's fence; all times are wall times."""

    def __init__(self, cfg: IssuerConfig, group: str, holder: str) -> None:
        """Create an issuer that holds no fence.

        ``holder`` is unique for each run of a process.
        """
        self._cfg = cfg
        self._group = group
        self._holder = holder
        self._held: FenceReply | None = None

    @property
    def fence(self) -> int:
        """Return the fence of the last reply.

        It is 0 before the first reply and after a refusal, also that of a
        renewal.
        """
        return self._held.fence if self._held else 0

    def has_valid_lease(self, now: float) -> bool:
        """Return whether the lease is valid by the clock of any VM."""
        return self._held is not None and now < self._trusted_until(self._held)

    def needs_renewal(self, now: float) -> bool:
        """Return whether the fence must be acquired or renewed."""
        held = self._held
        return held is None or held.lease_until - now <= self._cfg.renew_s

    def request(self, now: float) -> FenceRequest:
        """Build a request to acquire the fence or renew its lease.

        The caller sends it.
        """
        return FenceRequest(
            self._group,
            self._holder,
            now + self._cfg.lease_s,
            renews=self.fence,
        )

    def apply_reply(self, reply: FenceReply) -> bool:
        """Apply a reply; return whether it granted a fence not held before."""
        before = self.fence
        self._held = reply if reply.granted else None
        return reply.granted and reply.fence != before

    def orders_allowed_at(self, fencing: Fencing) -> float:
        """Return the time from which orders to an engine are allowed.

        It is infinite without a fence, and 0 if the engine checks fences.

        An engine that ignores fences may execute the previous holder's last
        order until that holder's lease, which bounds all its deadlines, has
        expired by every clock.
        """
        if self._held is None:
            return float('inf')
        if fencing == 'checked':
            return 0
        return self._held.not_before + self._cfg.drift_s

    def write(
        self,
        draft: EngineOrder,
        fencing: Fencing,
        now: float,
    ) -> Result[EngineOrder, UnavailableError]:
        """Add fence and deadline to an order, or return why it must wait."""
        held = self._held
        if held is None or not self.has_valid_lease(now):
            return Err(UnavailableError('no fence is held', step=_STEP))
        if now < self.orders_allowed_at(fencing):
            text = f'the previous lease is valid until {held.not_before}'
            return Err(UnavailableError(text, step=_STEP))
        latest = min(now + self._cfg.order_s, self._trusted_until(held))
        return Ok(
            replace(
                draft,
                group=self._group,
                fence=held.fence,
                deadline_at=latest,
            ),
        )

    def _trusted_until(self, held: FenceReply) -> float:
        return held.lease_until - self._cfg.drift_s
