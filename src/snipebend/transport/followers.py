"""The configuration as entries and agents follow it from control."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import aclosing
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.errors.hierarchy import UnavailableError
from snipebend.fleet.lease import MAX_CONFIRMATION_AGE_S
from snipebend.fleet.lookup import FleetIndex
from snipebend.kernel.service import Service
from snipebend.state.followed_configuration import (
    FollowedConfiguration,
    UpdateResult,
)
from snipebend.state.messages import Configuration, WatchRequest
from snipebend.transport.methods import WATCH
from snipebend.transport.rpc_clients import RpcClients

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry

#: Seconds before the next control daemon is tried.
RETRY_DELAY_S = 0.2

#: Seconds without a message after which a daemon is given up; it sends one a
#: second.
SILENCE_S = 2.5


class ConfigurationFollower(Service):
    """Keeps the newest configuration; its revision only grows."""

    def __init__(
        self,
        name: str,
        process_name: str,
        control: Sequence[str],
        clients: RpcClients,
    ) -> None:
        """Keep the control daemons' addresses."""
        super().__init__(name)
        self._copy = FollowedConfiguration()
        self._needs_full = False
        self._peer = ''
        self._changed = asyncio.Event()
        self._process_name = process_name
        self._control = tuple(control)
        self._clients = clients

    async def start(self, registry: Registry) -> None:
        """Start to follow."""
        self._clock = registry.clock
        registry.tasks.start('follow-configuration', self._follow)

    @property
    def revision(self) -> int:
        """Return the revision in force here."""
        return self._copy.revision

    @property
    def index(self) -> FleetIndex | None:
        """Return the fleet in force here, if any."""
        return self._copy.index

    def lapsed(self, now: float) -> bool:
        """Tell whether the lease ended: what is in force may be outdated.

        The fleet's ``stale_policy`` says what becomes of new work then.
        """
        return self._copy.is_expired(now)

    async def wait_newer(self, revision: int, span_s: float) -> None:
        """Wait until a newer revision is in force here, or for the span."""
        changed = self._changed
        if self.revision > revision:
            return
        try:
            async with asyncio.timeout(span_s):
                await changed.wait()
        except TimeoutError:
            return

    def ready(self) -> bool:
        """Tell whether a configuration is in force here under a lease."""
        return not self.lapsed(self._clock.now())

    def dump(self) -> Mapping[str, object]:
        """Return the revision, its source and how long the lease runs."""
        left_s = self._copy.lease_until - self._clock.now()
        return {
            'revision': self.revision,
            'lease_left_s': max(left_s, 0),
            'control': self._peer,
        }

    async def _follow(self) -> None:
        while True:
            for peer in self._control:
                await self._follow_one(peer)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _follow_one(self, peer: str) -> None:
        req = WatchRequest(self._process_name, self.revision, self._needs_full)
        opened_at = self._clock.now()
        self._peer = peer
        messages = self._clients.stream(peer, WATCH, req)
        try:
            async with aclosing(messages):
                await self._take_all(messages, opened_at)
        except TimeoutError:
            logger.warning('event=control_silent peer={}', peer)
            self._clients.retire(peer)
        except UnavailableError as exc:
            logger.warning('event=control_lost peer={} reason={!r}', peer, exc)

    async def _take_all(
        self, messages: AsyncIterator[Configuration], opened_at: float
    ) -> None:
        going_on = True
        while going_on:
            async with asyncio.timeout(SILENCE_S):
                message = await anext(messages, None)
            going_on = message is not None and self._take(message, opened_at)

    def _take(self, message: Configuration, opened_at: float) -> bool:
        """Take in a message; return whether to go on with this daemon."""
        taken = self._copy.apply(message, opened_at)
        self._needs_full = taken is UpdateResult.MISSED
        if taken is UpdateResult.NEWER:
            self._changed.set()
            self._changed = asyncio.Event()
            logger.info('event=configuration revision={}', self.revision)
        if taken is UpdateResult.MISSED:
            logger.warning('event=delta_missed revision={}', message.revision)
            return False
        return not self._is_stale(message)

    def _is_stale(self, message: Configuration) -> bool:
        """Tell whether a daemon may be cut off from its group."""
        unconfirmed = not 0 <= message.confirmed_ago_s <= MAX_CONFIRMATION_AGE_S
        lapsed = self.lapsed(self._clock.now())
        return unconfirmed or (lapsed and self.index is not None)
