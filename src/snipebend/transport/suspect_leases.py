"""Acquires leases before attempts of suspects and releases them after."""

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

#: Seconds after which a caller may retry when control is unreachable.
CONTROL_DOWN_RETRY_S = 1.0

#: Minimum seconds in a caller's refusal while another entry holds the lease.
MIN_RETRY_S = 1.0


class SuspectLeases(Service):
    """Acquires leases from control and tracks pending releases."""

    def __init__(self, name: str) -> None:
        """Initialize without pending releases."""
        super().__init__(name)
        self._releasing: dict[str, asyncio.Task[None]] = {}

    async def start(self, registry: Registry) -> None:
        """Look up the client of the control daemons."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        self._control = registry.find('control-calls', ControlCalls)

    async def stop(self) -> None:
        """Wait for the pending releases."""
        if self._releasing:
            await asyncio.wait(self._releasing.values())

    def dump(self) -> Mapping[str, object]:
        """Return the number of pending releases."""
        return {'releasing': len(self._releasing)}

    def open(self, fingerprint: str, deadline_at: float) -> SuspectLease:
        """Return a lease not yet acquired.

        ``deadline_at`` is on the clock of this process.
        """
        offset = self._clock.wall() - self._clock.now()
        return SuspectLease(fingerprint, uuid4().hex, deadline_at + offset)

    async def acquire(self, lease: SuspectLease) -> float:
        """Acquire a lease; return 0, or the seconds to wait if refused."""
        blocked_s = lease.blocked_for(self._clock.wall())
        if blocked_s or lease.is_held:
            return blocked_s
        pending_release = self._releasing.get(lease.fingerprint)
        if pending_release is not None:
            await asyncio.wait((pending_release,))
        reply = await self._control.take_fence(lease.build_request())
        if reply.is_err():
            return CONTROL_DOWN_RETRY_S
        wait_s = lease.apply_reply(reply.unwrap(), self._clock.wall())
        logger.info(
            'event=suspect_lease fingerprint={} granted={} wait_s={:.1f}',
            lease.fingerprint,
            lease.is_held,
            wait_s,
        )
        return 0 if lease.is_held else max(wait_s, MIN_RETRY_S)

    def close(self, lease: SuspectLease) -> None:
        """Release a lease if the outcome of its last attempt allows it."""
        req = lease.build_release()
        if req is None:
            return
        fingerprint = lease.fingerprint
        task = self._tasks.once('release-suspect', lambda: self._release(req))
        self._releasing[fingerprint] = task
        task.add_done_callback(lambda done: self._forget(fingerprint, done))

    async def _release(self, req: FenceRequest) -> None:
        # A lost release does no harm: the lease expires.
        await self._control.take_fence(req)

    def _forget(self, fingerprint: str, done: asyncio.Task[None]) -> None:
        if self._releasing.get(fingerprint) is done:
            self._releasing.pop(fingerprint)
