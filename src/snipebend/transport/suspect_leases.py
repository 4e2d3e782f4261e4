"""Leases of suspects: taken before their attempts, given back behind them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from uuid import uuid4

from loguru import logger

from snipebend.delivery.suspect_lease import SuspectLease
from snipebend.kernel.service import Service
from snipebend.transport.control_calls import ControlCalls

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry
    from snipebend.state.fences import FenceRequest

#: Seconds after which a caller may come back when control can't be asked.
UNASKED_RETRY_S = 1.0

#: Least seconds told to a caller while another entry holds the lease.
LEAST_RETRY_S = 1.0


class SuspectLeases(Service):
    """Asks control for leases; knows those that it is giving back."""

    def __init__(self, name: str) -> None:
        """Hold nothing."""
        super().__init__(name)
        self._releasing: dict[str, asyncio.Task[None]] = {}

    async def start(self, registry: Registry) -> None:
        """Find the way to control."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        self._control = registry.find('control-calls', ControlCalls)

    async def stop(self) -> None:
        """Wait until all are given back."""
        if self._releasing:
            await asyncio.wait(self._releasing.values())

    def dump(self) -> Mapping[str, object]:
        """Return how many are being given back."""
        return {'releasing': len(self._releasing)}

    def open(self, fingerprint: str, deadline_at: float) -> SuspectLease:
        """Return a request's lease, not taken; the deadline is on our clock."""
        offset = self._clock.wall() - self._clock.now()
        return SuspectLease(fingerprint, uuid4().hex, deadline_at + offset)

    async def take(self, lease: SuspectLease) -> float:
        """Take a lease; return the seconds to wait where it isn't granted."""
        blocked_s = lease.blocked_for(self._clock.wall())
        if blocked_s or lease.is_held:
            return blocked_s
        former = self._releasing.get(lease.fingerprint)
        if former is not None:
            await asyncio.wait((former,))
        answer = await self._control.take_fence(lease.build_request())
        if answer.is_err():
            return UNASKED_RETRY_S
        wait_s = lease.apply_reply(answer.unwrap(), self._clock.wall())
        logger.info(
            'event=suspect_lease fingerprint={} granted={} wait_s={:.1f}',
            lease.fingerprint,
            lease.is_held,
            wait_s,
        )
        return 0 if lease.is_held else max(wait_s, LEAST_RETRY_S)

    def close(self, lease: SuspectLease) -> None:
        """Give a lease back if its last attempt allows it."""
        req = lease.build_release()
        if req is None:
            return
        fingerprint = lease.fingerprint
        task = self._tasks.once('release-suspect', lambda: self._release(req))
        self._releasing[fingerprint] = task
        task.add_done_callback(lambda done: self._forget(fingerprint, done))

    async def _release(self, req: FenceRequest) -> None:
        # A lost release is no harm: the lease runs out.
        await self._control.take_fence(req)

    def _forget(self, fingerprint: str, done: asyncio.Task[None]) -> None:
        if self._releasing.get(fingerprint) is done:
            self._releasing.pop(fingerprint)
