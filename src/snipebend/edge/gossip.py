"""Entries report their calls in progress to each other by datagrams.

Each entry observes its own calls only. Without the others' it would select
upstreams that are busy with their calls, and in a group of ranks that run in
lock-step the fullest rank determines the pass time of all.
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
from snipebend.relay.crash_report import CrashReport
from snipebend.relay.fan_out import Recipients, choose_recipients
from snipebend.relay.rate_limit_table import LimitReport
from snipebend.relay.refusals import RefusalReport

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from snipebend.kernel.registry import Registry

#: Seconds between two datagrams while calls change: about the time between two
#: requests of a fleet that serves 40 per second.
SEND_INTERVAL_S = 0.025

#: Seconds between two datagrams while nothing changes.
REPEAT_INTERVAL_S = 0.4

#: Seconds between two messages with crash reports that have not changed. They
#: are large, and an entry that has just started waits that long for them.
CRASHES_INTERVAL_S = 1.0

#: Seconds after which an entry that sends nothing is assumed to have no calls:
#: three repeats may be lost.
ENTRY_TIMEOUT_S = 1.3


class GossipMessage(Struct, frozen=True, array_like=True):
    """One entry's calls by upstream identity, with an increasing number."""

    entry: str
    started_at: float
    number: int
    calls: dict[str, int]
    #: Whether the receiver forwards the message in its data centre.
    forward: bool = False
    #: Notices of upstreams' limits, and the calls begun under them.
    limits: dict[str, LimitReport] = field(default_factory=dict)
    #: Recent refusals by upstreams.
    refusals: dict[str, RefusalReport] = field(default_factory=dict)
    #: Requests and prompt parts under which upstreams ended, by their keys.
    crashes: dict[str, CrashReport] = field(default_factory=dict)
    #: Requests that wait at the entry, by service and priority.
    waiting: dict[str, dict[int, int]] = field(default_factory=dict)


class GossipState(Protocol):
    """The state that entries exchange by gossip."""

    def own_calls(self) -> dict[str, int]:
        """Return this entry's calls in progress, by upstream identity."""

    def own_waiting(self) -> dict[str, dict[int, int]]:
        """Return the requests that wait here, by service and priority."""

    def apply_waiting(
        self, entry: str, waiting: dict[str, dict[int, int]]
    ) -> None:
        """Apply the requests that wait at another entry."""

    def make_limit_reports(self) -> dict[str, LimitReport]:
        """Return the rate limit reports for others, by upstream identity."""

    def make_refusal_reports(self) -> dict[str, RefusalReport]:
        """Return the refusal reports for others, by upstream identity."""

    @property
    def has_crash_news(self) -> bool:
        """Return whether crash reports have changed that were not sent."""

    def make_crash_reports(self) -> dict[str, CrashReport]:
        """Return the crash reports for others, by suspect."""

    def apply_calls(self, entry: str, calls: dict[str, int]) -> None:
        """Apply the calls that another entry has in progress."""

    def apply_limits(
        self, entry: str, started_at: float, limits: dict[str, LimitReport]
    ) -> None:
        """Apply another entry's rate limit reports."""

    def apply_refusals(
        self, entry: str, refusals: dict[str, RefusalReport]
    ) -> None:
        """Apply another entry's refusal reports."""

    def apply_crashes(
        self, entry: str, crashes: dict[str, CrashReport]
    ) -> None:
        """Apply another entry's crash reports."""

    def record_reachable_share(self, share: float) -> None:
        """Record the share of entries whose messages are received here."""


class _Digest(NamedTuple):
    """The content of a message; a change triggers the next message."""

    calls: dict[str, int]
    #: Without ages.
    limits: dict[str, LimitReport]
    #: Consecutive refusals by upstream.
    refusals: dict[str, int]
    has_crash_news: bool
    waiting: dict[str, dict[int, int]]


class Gossip(Service, asyncio.DatagramProtocol):
    """Sends this entry's state to all entries, and applies theirs."""

    def __init__(
        self,
        name: str,
        process: str,
        address: tuple[str, int],
        state: GossipState,
    ) -> None:
        """Keep the address to listen on and the state to exchange."""
        super().__init__(name)
        self._process = process
        self._address = address
        self._state = state
        self._decoder = msgpack.Decoder(GossipMessage)
        self._last_stamps: dict[str, tuple[float, int]] = {}
        self._received_at: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, registry: Registry) -> None:
        """Open the socket, and set the gossip address of the follower."""
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
        registry.tasks.start('gossip', self._send_forever)

    async def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def dump(self) -> Mapping[str, object]:
        """Return seconds since the last message of each entry."""
        now = self._clock.now()
        return {entry: now - at for entry, at in self._received_at.items()}

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Apply the message of another entry."""
        try:
            message = self._decoder.decode(data)
        except (msgspec.DecodeError, UnicodeError, RecursionError) as exc:
            logger.warning(
                'event=gossip_unreadable peer={} error={!r}', addr, str(exc)
            )
            return
        stamp = (message.started_at, message.number)
        if stamp <= self._last_stamps.get(message.entry, (0, 0)):
            return
        self._last_stamps[message.entry] = stamp
        self._received_at[message.entry] = self._clock.now()
        self._state.apply_calls(message.entry, message.calls)
        self._state.apply_waiting(message.entry, message.waiting)
        if message.limits:
            self._state.apply_limits(
                message.entry, message.started_at, message.limits
            )
        if message.refusals:
            self._state.apply_refusals(message.entry, message.refusals)
        if message.crashes:
            self._state.apply_crashes(message.entry, message.crashes)
        if message.forward:
            self._forward(message)

    def error_received(self, exc: Exception) -> None:
        """Log that a peer's port is closed: it is restarting or has stopped."""
        logger.debug('event=gossip_unsent error={!r}', exc)

    async def _send_forever(self) -> None:
        number = 0
        sent = _Digest({}, {}, {}, has_crash_news=False, waiting={})
        repeat_at: float = 0
        repeat_crashes_at: float = 0
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            self._remove_expired()
            calls = self._state.own_calls()
            limits = self._state.make_limit_reports()
            refusals = self._state.make_refusal_reports()
            digest = _Digest(
                calls,
                _without_ages(limits),
                _counts_of(refusals),
                self._state.has_crash_news,
                self._state.own_waiting(),
            )
            now = self._clock.now()
            if digest == sent and now < repeat_at:
                continue
            number += 1
            crashes: dict[str, CrashReport] = {}
            if digest.has_crash_news or now >= repeat_crashes_at:
                crashes = self._state.make_crash_reports()
                repeat_crashes_at = now + CRASHES_INTERVAL_S
            sent = digest._replace(has_crash_news=False)
            repeat_at = now + REPEAT_INTERVAL_S
            self._broadcast(
                GossipMessage(
                    self._process,
                    self._started_at,
                    number,
                    calls,
                    limits=limits,
                    refusals=refusals,
                    crashes=crashes,
                    waiting=digest.waiting,
                )
            )

    def _broadcast(self, message: GossipMessage) -> None:
        recipients = self._recipients(message.number)
        self.send_to(recipients.local, msgpack.encode(message))
        forwarded = replace(message, forward=True)
        self.send_to(recipients.remote, msgpack.encode(forwarded))

    def _forward(self, message: GossipMessage) -> None:
        local = self._recipients(message.number).local
        self.send_to(local, msgpack.encode(replace(message, forward=False)))

    def _recipients(self, number: int) -> Recipients:
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

    def _remove_expired(self) -> None:
        oldest = self._clock.now() - ENTRY_TIMEOUT_S
        for entry, received_at in tuple(self._received_at.items()):
            if received_at < oldest:
                self._received_at.pop(entry)
                self._state.apply_calls(entry, {})
                self._state.apply_waiting(entry, {})
                logger.info('event=entry_silent peer={}', entry)
        follower = self._follower
        fleet = follower.fleet.count(self._clock.now())
        known = max(len(follower.entries), fleet)
        received = min(known, len(self._received_at))
        self._state.record_reachable_share((received + 1) / (known + 1))


def _without_ages(limits: Mapping[str, LimitReport]) -> dict[str, LimitReport]:
    """Return the reports without what changes all the time."""
    return {
        upstream: replace(report, age_s=None)
        for upstream, report in limits.items()
    }


def _counts_of(refusals: Mapping[str, RefusalReport]) -> dict[str, int]:
    return {
        upstream: report.consecutive for upstream, report in refusals.items()
    }
