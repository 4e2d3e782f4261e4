"""Follows the configuration from the control daemons."""

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

#: Seconds before the watch is opened at the next control daemon.
RETRY_DELAY_S = 0.2

#: Seconds without a message after which the next control daemon is tried. A
#: daemon sends a message every second.
MESSAGE_TIMEOUT_S = 2.5


class ConfigurationFollower(Service):
    """Keeps the newest configuration; its revision never decreases."""

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
        """Start following."""
        self._clock = registry.clock
        registry.tasks.start('follow-configuration', self._run_follower)

    @property
    def revision(self) -> int:
        """Return the revision in force in this process."""
        return self._copy.revision

    @property
    def index(self) -> FleetIndex | None:
        """Return the fleet in force in this process, or None."""
        return self._copy.index

    def is_expired(self, now: float) -> bool:
        """Return whether the lease has expired.

        The configuration may then be outdated; the fleet's ``stale_policy``
        decides what happens to new requests.
        """
        return self._copy.is_expired(now)

    async def wait_newer(self, revision: int, span_s: float) -> None:
        """Wait for a newer revision, for at most ``span_s`` seconds."""
        changed = self._changed
        if self.revision > revision:
            return
        try:
            async with asyncio.timeout(span_s):
                await changed.wait()
        except TimeoutError:
            return

    def ready(self) -> bool:
        """Return whether this process has a valid configuration lease."""
        return not self.is_expired(self._clock.now())

    def dump(self) -> Mapping[str, object]:
        """Return the revision, its source and the remaining lease time."""
        left_s = self._copy.lease_until - self._clock.now()
        return {
            'revision': self.revision,
            'lease_left_s': max(left_s, 0),
            'control': self._peer,
        }

    async def _run_follower(self) -> None:
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
                await self._apply_messages(messages, opened_at)
        except TimeoutError:
            logger.warning('event=control_silent peer={}', peer)
            self._clients.retire(peer)
        except UnavailableError as exc:
            logger.warning('event=control_lost peer={} reason={!r}', peer, exc)

    async def _apply_messages(
        self, messages: AsyncIterator[Configuration], opened_at: float
    ) -> None:
        is_usable = True
        while is_usable:
            async with asyncio.timeout(MESSAGE_TIMEOUT_S):
                message = await anext(messages, None)
            is_usable = message is not None and self._apply(message, opened_at)

    def _apply(self, message: Configuration, opened_at: float) -> bool:
        """Apply a message; return whether to keep following this daemon."""
        update_result = self._copy.apply(message, opened_at)
        self._needs_full = update_result is UpdateResult.MISSED
        if update_result is UpdateResult.NEWER:
            self._changed.set()
            self._changed = asyncio.Event()
            logger.info('event=configuration revision={}', self.revision)
        if update_result is UpdateResult.MISSED:
            logger.warning('event=delta_missed revision={}', message.revision)
            return False
        return not self._is_stale(message)

    def _is_stale(self, message: Configuration) -> bool:
        """Return whether the daemon may be partitioned from its group."""
        unconfirmed = not 0 <= message.confirmed_ago_s <= MAX_CONFIRMATION_AGE_S
        expired = self.is_expired(self._clock.now())
        return unconfirmed or (expired and self.index is not None)
