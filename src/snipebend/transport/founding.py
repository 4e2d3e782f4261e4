"""How a daemon with a new disk finds its group, or founds it.

Identities are made with the disk, so the first members must learn each other's
before there is a group. The first daemon of the settings' list founds it once
every other listed daemon has answered that it knows of no group. A daemon that
lost its disk therefore never founds a second group while another one still
remembers the first; it asks to join.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.consensus.records import Member, Members
from snipebend.transport.group_messages import (
    HelloReply,
    HelloRequest,
    JoinRequest,
)
from snipebend.transport.methods import HELLO, JOIN

if TYPE_CHECKING:
    from collections.abc import Sequence

    from snipebend.transport.rpc_clients import RpcClients

#: Seconds for one question to another daemon.
ASK_TIMEOUT_S = 1.0

#: Seconds for the leader to take in a learner.
JOIN_TIMEOUT_S = 5.0

#: Seconds between two rounds of questions.
ROUND_S = 0.2


class Founding:
    """Asks the listed daemons until this one knows its group."""

    def __init__(
        self,
        own: Member,
        listed: Sequence[str],
        clients: RpcClients,
        keep: Callable[[Members], None],
        *,
        may_found: bool = True,
    ) -> None:
        """Keep the addresses in the order of the list, the own one included.

        ``keep`` stores the founding members and returns once they are synced.
        """
        self._own = own
        self._listed = tuple(listed)
        self._clients = clients
        self._keep = keep
        self._may_found = may_found

    async def find(self) -> Members:
        """Return the members to begin with; none: wait for the leader's log."""
        while True:
            found = await self.ask_round()
            if found is not None:
                return found
            await asyncio.sleep(ROUND_S)

    async def ask_round(self) -> Members | None:
        """Ask everybody once; nothing when that doesn't settle it."""
        others = [one for one in self._listed if one != self._own.address]
        asked = await asyncio.gather(*(self._ask(one) for one in others))
        replies = [reply for reply in asked if reply is not None]
        founded = [reply for reply in replies if reply.members.voters]
        if founded:
            founded += await self._ask_unlisted(founded)
            return await self._enter(founded)
        if not self._founds_first or None in asked:
            return None
        voters = (self._own, *(reply.member for reply in replies))
        logger.info('event=group_founded voters={}', len(voters))
        return await self._store(Members(voters))

    @property
    def _founds_first(self) -> bool:
        return self._may_found and self._listed[0] == self._own.address

    async def ask_back_in(self) -> bool:
        """Ask to be taken in again by a group that has removed this member."""
        others = [one for one in self._listed if one != self._own.address]
        asked = await asyncio.gather(*(self._ask(one) for one in others))
        for reply in asked:
            if reply is None or not reply.members.voters:
                continue
            members = reply.members.voters + reply.members.learners
            if self._own in members:
                continue
            if await self._join_at(reply.member.address):
                logger.info('event=rejoined member={}', self._own.member_id)
                return True
        return False

    async def _ask_unlisted(
        self, replies: list[HelloReply]
    ) -> list[HelloReply]:
        """Ask the voters that the listed daemons know of, too.

        The leader may be one of them. Without it a daemon with a new disk asked
        in vain for 6 s, until two more disks were lost: three of five.
        """
        known = {
            voter.address for reply in replies for voter in reply.members.voters
        }
        unlisted = sorted(known - {self._own.address, *self._listed})
        asked = await asyncio.gather(*(self._ask(one) for one in unlisted))
        return [reply for reply in asked if reply and reply.members.voters]

    async def _enter(self, replies: list[HelloReply]) -> Members | None:
        """Enter a group that exists: as one of its voters, or as a learner.

        Only the leader takes in a learner, so all of them are asked.
        """
        for reply in replies:
            if self._own in reply.members.voters:
                return await self._store(reply.members)
            if self._own in reply.members.learners:
                return Members()
        for reply in replies:
            if await self._join_at(reply.member.address):
                logger.info('event=joined member={}', self._own.member_id)
                return Members()
        return None

    async def _join_at(self, address: str) -> bool:
        joined = await self._clients.call(
            address,
            JOIN,
            JoinRequest(self._own),
            timeout=JOIN_TIMEOUT_S,
        )
        return joined.is_ok() and joined.unwrap().accepted

    async def _ask(self, address: str) -> HelloReply | None:
        req = HelloRequest(self._own.name)
        answer = await self._clients.call(
            address, HELLO, req, timeout=ASK_TIMEOUT_S
        )
        return answer.unwrap() if answer.is_ok() else None

    async def _store(self, members: Members) -> Members:
        await asyncio.to_thread(self._keep, members)
        return members
