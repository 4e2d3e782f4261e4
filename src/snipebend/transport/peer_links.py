"""Sends Raft messages to peers over one streaming call per peer."""

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

#: Maximum number of messages waiting for a peer. Beyond it the oldest are
#: dropped, which Raft tolerates like loss on the network.
MAX_WAITING = 512

#: Maximum number of messages in one delivery.
MAX_BATCH = 32

#: Seconds before the call to a lost peer is opened again.
RETRY_DELAY_S = 0.1

#: Interval and timeout of pings in seconds. An unresponsive connection is
#: detected after twice this time.
PING_S = 0.5


class PeerLink:
    """The queue of messages to one peer and the task that sends them."""

    def __init__(
        self, local_address: str, address: str, clients: RpcClients
    ) -> None:
        """Store both addresses; the peer's may change later."""
        self.address = address
        self._local_address = local_address
        self._clients = clients
        self._waiting: deque[Envelope] = deque(maxlen=MAX_WAITING)
        self._has_waiting = asyncio.Event()

    def put(self, envelope: Envelope) -> None:
        """Queue a message."""
        self._waiting.append(envelope)
        self._has_waiting.set()

    async def run(self) -> None:
        """Send messages until cancelled; reopen lost connections."""
        while True:
            try:
                await self._clients.send_stream(
                    self.address, DELIVER, self._deliveries()
                )
            except UnavailableError as exc:
                logger.debug('event=peer_lost error={!r}', str(exc))
            await asyncio.sleep(RETRY_DELAY_S)

    async def _deliveries(self) -> AsyncIterator[Delivery]:
        while True:
            await self._has_waiting.wait()
            size = min(len(self._waiting), MAX_BATCH)
            batch = tuple(self._waiting.popleft() for _ in range(size))
            if not self._waiting:
                self._has_waiting.clear()
            yield Delivery(self._local_address, batch)


class PeerLinks:
    """The links to all peers by member identity.

    Addresses come from the lists of members and from received messages.
    """

    def __init__(self, local_member: Member, tasks: TaskSupervisor) -> None:
        """Create an empty collection of links."""
        self._local_member = local_member
        self._tasks = tasks
        self._clients = RpcClients(PING_S, PING_S)
        self._addresses: dict[str, str] = {}
        self._links: dict[str, PeerLink] = {}

    def update_members(self, members: Iterable[Member]) -> None:
        """Update the addresses of the given members."""
        for member in members:
            self.update_address(member.member_id, member.address)

    def update_address(self, member_id: str, address: str) -> None:
        """Update the address of one member."""
        self._addresses[member_id] = address
        link = self._links.get(member_id)
        if link is not None and link.address != address:
            self._clients.retire(link.address)
            link.address = address

    def send(self, envelope: Envelope) -> bool:
        """Queue a message; return False if its target's address is unknown."""
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
        link = PeerLink(self._local_member.address, address, self._clients)
        self._links[member_id] = link
        self._tasks.start(f'peer-{member_id}', link.run)
        return link
