"""Entries tell each other what they have under way, by datagrams.

Each entry sees its own calls only. Without the others' it would give work to
an upstream that is busy with theirs, and in a group of ranks that advance in
lock-step the fullest rank sets the pace of all.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Protocol

import msgspec
from loguru import logger
from msgspec import Struct, field, msgpack
from msgspec.structs import replace

from snipebend.edge.host_follower import HostFollower
from snipebend.kernel.service import Service
from snipebend.relay.fan_out import Recipients, choose_recipients
from snipebend.relay.rate_limit_table import LimitReport
from snipebend.relay.refusals import RefusalReport

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from snipebend.kernel.registry import Registry

#: Seconds between two datagrams while calls change: about the time between
#: two requests of the whole fleet at 40 a second.
TELL_EVERY_S = 0.025

#: Seconds between two datagrams while nothing changes.
REPEAT_EVERY_S = 0.4

#: Seconds after which an entry that says nothing is taken to have no calls:
#: three repeats may be lost.
SILENT_AFTER_S = 1.3


class CallsTold(Struct, frozen=True, array_like=True):
    """One entry's calls by the upstream's identity, with a growing number."""

    entry: str
    started_at: float
    number: int
    calls: dict[str, int]
    #: Whether the receiver is to tell it on in its data centre.
    onward: bool = False
    #: What it heard of upstreams' limits and began under them.
    limits: dict[str, LimitReport] = field(default_factory=dict)
    #: What upstreams refused to it lately.
    refusals: dict[str, RefusalReport] = field(default_factory=dict)


class CallBooks(Protocol):
    """What an entry has under way, and what it makes of the others'."""

    def own_calls(self) -> dict[str, int]:
        """Return the calls under way, by the upstream's identity."""

    def own_limits(self) -> dict[str, LimitReport]:
        """Return what to tell of limits, by the upstream's identity."""

    def own_refusals(self) -> dict[str, RefusalReport]:
        """Return what to tell of refusals, by the upstream's identity."""

    def apply_calls(self, entry: str, calls: dict[str, int]) -> None:
        """Take over what another entry has under way."""

    def apply_limits(
        self, entry: str, started_at: float, limits: dict[str, LimitReport]
    ) -> None:
        """Take over what another entry tells of limits."""

    def apply_refusals(
        self, entry: str, refusals: dict[str, RefusalReport]
    ) -> None:
        """Take over what another entry tells of refusals."""

    def record_reachable_share(self, share: float) -> None:
        """Take note of the part of all entries that is heard."""


class _Known(NamedTuple):
    """What is news to the others if it changes."""

    calls: dict[str, int]
    #: Without their ages.
    limits: dict[str, LimitReport]
    #: Numbers by upstream.
    refusals: dict[str, int]


class Gossip(Service, asyncio.DatagramProtocol):
    """Sends the own calls to all entries, and hands theirs on."""

    def __init__(
        self,
        name: str,
        process: str,
        address: tuple[str, int],
        books: CallBooks,
    ) -> None:
        """Keep where to listen, and what is told and heard."""
        super().__init__(name)
        self._process = process
        self._address = address
        self._books = books
        self._decoder = msgpack.Decoder(CallsTold)
        self._last: dict[str, tuple[float, int]] = {}
        self._heard_at: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, registry: Registry) -> None:
        """Open the socket, and tell the follower its address."""
        self._clock = registry.clock
        self._follower = registry.find('hosts', HostFollower)
        self._started_at = self._clock.wall()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._address
        )
        self._transport = transport
        host, port = transport.get_extra_info('sockname')[:2]
        self._follower.gossip_address = f'{host}:{port}'
        registry.tasks.start('gossip', self._tell_for_ever)

    async def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def dump(self) -> Mapping[str, object]:
        """Return when each entry was heard last."""
        now = self._clock.now()
        return {entry: now - at for entry, at in self._heard_at.items()}

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take over what another entry has under way."""
        try:
            told = self._decoder.decode(data)
        except msgspec.DecodeError as exc:
            logger.warning(
                'event=gossip_unreadable peer={} error={!r}', addr, str(exc)
            )
            return
        stamp = (told.started_at, told.number)
        if stamp <= self._last.get(told.entry, (0, 0)):
            return
        self._last[told.entry] = stamp
        self._heard_at[told.entry] = self._clock.now()
        self._books.apply_calls(told.entry, told.calls)
        if told.limits:
            self._books.apply_limits(told.entry, told.started_at, told.limits)
        if told.refusals:
            self._books.apply_refusals(told.entry, told.refusals)
        if told.onward:
            self._tell_on(told)

    def error_received(self, exc: Exception) -> None:
        """Note that a peer's port is closed; it restarts or is gone."""
        logger.debug('event=gossip_unsent error={!r}', exc)

    async def _tell_for_ever(self) -> None:
        number = 0
        told = _Known({}, {}, {})
        repeat_at: float = 0
        while True:
            await asyncio.sleep(TELL_EVERY_S)
            self._forget_silent()
            calls = self._books.own_calls()
            limits = self._books.own_limits()
            refusals = self._books.own_refusals()
            known = _Known(calls, _without_ages(limits), _numbers_of(refusals))
            now = self._clock.now()
            if known == told and now < repeat_at:
                continue
            number += 1
            told = known
            repeat_at = now + REPEAT_EVERY_S
            self._tell(
                CallsTold(
                    self._process,
                    self._started_at,
                    number,
                    calls,
                    limits=limits,
                    refusals=refusals,
                )
            )

    def _tell(self, message: CallsTold) -> None:
        receivers = self._receivers(message.number)
        self.send_to(receivers.local, msgpack.encode(message))
        onward = replace(message, onward=True)
        self.send_to(receivers.remote, msgpack.encode(onward))

    def _tell_on(self, told: CallsTold) -> None:
        local = self._receivers(told.number).local
        self.send_to(local, msgpack.encode(replace(told, onward=False)))

    def _receivers(self, number: int) -> Recipients:
        follower = self._follower
        return choose_recipients(
            follower.entries,
            follower.data_centers,
            follower.data_center,
            number,
        )

    def send_to(self, addresses: Iterable[str], data: bytes) -> None:
        """Send a datagram to each address; any of them may be lost."""
        for address in addresses:
            host, _, port = address.rpartition(':')
            if self._transport is not None:
                self._transport.sendto(data, (host, int(port)))

    def _forget_silent(self) -> None:
        oldest = self._clock.now() - SILENT_AFTER_S
        for entry, heard_at in tuple(self._heard_at.items()):
            if heard_at < oldest:
                self._heard_at.pop(entry)
                self._books.apply_calls(entry, {})
                logger.info('event=entry_silent peer={}', entry)
        known = len(self._follower.entries)
        heard = min(known, len(self._heard_at))
        self._books.record_reachable_share((heard + 1) / (known + 1))


def _without_ages(limits: Mapping[str, LimitReport]) -> dict[str, LimitReport]:
    """Return what is news if it changes."""
    return {
        upstream: replace(told, age_s=None) for upstream, told in limits.items()
    }


def _numbers_of(refusals: Mapping[str, RefusalReport]) -> dict[str, int]:
    return {upstream: told.consecutive for upstream, told in refusals.items()}
