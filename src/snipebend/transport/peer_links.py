"""Sends the messages of log replication, over one open call to each peer."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.errors.hierarchy import UnavailableError
from snipebend.transport.group_messages import Delivery
from snipebend.transport.methods import DELIVER
from snipebend.transport.rpc_clients import RpcClients

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from snipebend.consensus.messages import Envelope
    from snipebend.consensus.records import Member
    from snipebend.kernel.tasks import TaskSupervisor

#: Messages that wait for a peer; the oldest are dropped, as on a bad network.
MAX_WAITING = 512

#: Messages in one delivery.
MAX_BATCH = 32

#: Seconds before a lost peer is tried again.
RETRY_DELAY_S = 0.1

#: A connection gone silent is noticed after two such times, in seconds.
PING_S = 0.5


class PeerLink:
    """The messages to one peer and the task that sends them."""

    def __init__(
        self, own_address: str, address: str, clients: RpcClients
    ) -> None:
        """Keep both addresses; the peer's may change."""
        self.address = address
        self._own_address = own_address
        self._clients = clients
        self._waiting: deque[Envelope] = deque(maxlen=MAX_WAITING)
        self._filled = asyncio.Event()

    def put(self, envelope: Envelope) -> None:
        """Queue a message."""
        self._waiting.append(envelope)
        self._filled.set()

    async def run(self) -> None:
        """Send until cancelled; a lost connection is opened again."""
        while True:
            try:
                await self._clients.feed(
                    self.address, DELIVER, self._deliveries()
                )
            except UnavailableError as exc:
                logger.debug('event=peer_lost error={!r}', str(exc))
            await asyncio.sleep(RETRY_DELAY_S)

    async def _deliveries(self) -> AsyncIterator[Delivery]:
        while True:
            await self._filled.wait()
            size = min(len(self._waiting), MAX_BATCH)
            batch = tuple(self._waiting.popleft() for _ in range(size))
            if not self._waiting:
                self._filled.clear()
            yield Delivery(self._own_address, batch)


class PeerLinks:
    """All peers by their identities, whose addresses are learnt."""

    def __init__(self, own: Member, tasks: TaskSupervisor) -> None:
        """Start with no peers."""
        self._own = own
        self._tasks = tasks
        self._clients = RpcClients(PING_S, PING_S)
        self._addresses: dict[str, str] = {}
        self._links: dict[str, PeerLink] = {}

    def learn(self, members: Iterable[Member]) -> None:
        """Take over addresses from a list of members."""
        for member in members:
            self.learn_address(member.member_id, member.address)

    def learn_address(self, member_id: str, address: str) -> None:
        """Take over the address of one member."""
        self._addresses[member_id] = address
        link = self._links.get(member_id)
        if link is not None and link.address != address:
            self._clients.retire(link.address)
            link.address = address

    def send(self, envelope: Envelope) -> bool:
        """Send a message; return False when its target is unknown."""
        link = self._links.get(envelope.target)
        if link is None:
            link = self._open(envelope.target)
        if link is None:
            return False
        link.put(envelope)
        return True

    def close(self) -> None:
        """Close all connections."""
        self._clients.close()

    def _open(self, member_id: str) -> PeerLink | None:
        address = self._addresses.get(member_id)
        if address is None:
            return None
        link = PeerLink(self._own.address, address, self._clients)
        self._links[member_id] = link
        self._tasks.start(f'peer-{member_id}', link.run)
        return link
