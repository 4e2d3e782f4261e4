"""Finds or founds the control group of a daemon with an empty data folder.

A member's identity is created with its data folder, so the first members must
exchange identities before the group exists. The first daemon in the list of the
settings founds the group once every other listed daemon has replied that it
knows of none. Therefore a daemon that lost its disk never founds a second group
while another daemon remembers the first one; it asks to join.
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

#: Timeout in seconds of a query to another daemon.
QUERY_TIMEOUT_S = 1.0

#: Timeout in seconds for the leader to add a learner.
JOIN_TIMEOUT_S = 5.0

#: Seconds between two rounds of queries.
ROUND_INTERVAL_S = 0.2


class GroupDiscovery:
    """Queries the listed daemons until this daemon's group is known."""

    def __init__(
        self,
        local_member: Member,
        listed: Sequence[str],
        clients: RpcClients,
        save_members: Callable[[Members], None],
        *,
        founding_allowed: bool = True,
    ) -> None:
        """Store the addresses in the order of the list.

        ``listed`` includes this daemon's address. ``save_members`` stores the
        founding members and returns once they are synced.
        """
        self._local_member = local_member
        self._listed = tuple(listed)
        self._clients = clients
        self._save_members = save_members
        self._founding_allowed = founding_allowed

    async def find(self) -> Members:
        """Return the initial members; empty if the leader will send the log."""
        while True:
            found = await self.run_round()
            if found is not None:
                return found
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def run_round(self) -> Members | None:
        """Query all daemons once; return None if the group is still unknown."""
        others = [
            one for one in self._listed if one != self._local_member.address
        ]
        answers = await asyncio.gather(*(self._query(one) for one in others))
        replies = [reply for reply in answers if reply is not None]
        group_replies = [reply for reply in replies if reply.members.voters]
        if group_replies:
            group_replies += await self._query_unlisted_voters(group_replies)
            return await self._join_or_resume(group_replies)
        if not self._can_found or None in answers:
            return None
        voters = (self._local_member, *(reply.member for reply in replies))
        logger.info('event=group_founded voters={}', len(voters))
        return await self._store(Members(voters))

    @property
    def _can_found(self) -> bool:
        return (
            self._founding_allowed
            and self._listed[0] == self._local_member.address
        )

    async def request_readmission(self) -> bool:
        """Ask a group that has removed this member to add it again."""
        others = [
            one for one in self._listed if one != self._local_member.address
        ]
        answers = await asyncio.gather(*(self._query(one) for one in others))
        for reply in answers:
            if reply is None or not reply.members.voters:
                continue
            members = reply.members.voters + reply.members.learners
            if self._local_member in members:
                continue
            if await self._request_join(reply.member.address):
                logger.info(
                    'event=rejoined member={}', self._local_member.member_id
                )
                return True
        return False

    async def _query_unlisted_voters(
        self, replies: list[HelloReply]
    ) -> list[HelloReply]:
        """Query the voters that the listed daemons know but the list lacks.

        One of them may be the leader. When only listed daemons were queried, a
        daemon with a new disk asked in vain for 6 s; then two more disks were
        lost, three of five in total.
        """
        known = {
            voter.address for reply in replies for voter in reply.members.voters
        }
        unlisted = sorted(known - {self._local_member.address, *self._listed})
        answers = await asyncio.gather(*(self._query(one) for one in unlisted))
        return [reply for reply in answers if reply and reply.members.voters]

    async def _join_or_resume(
        self, replies: list[HelloReply]
    ) -> Members | None:
        """Resume as a known member of an existing group, or join as a learner.

        Only the leader can add a learner, so every daemon is asked in turn.
        """
        for reply in replies:
            if self._local_member in reply.members.voters:
                return await self._store(reply.members)
            if self._local_member in reply.members.learners:
                return Members()
        for reply in replies:
            if await self._request_join(reply.member.address):
                logger.info(
                    'event=joined member={}', self._local_member.member_id
                )
                return Members()
        return None

    async def _request_join(self, address: str) -> bool:
        joined = await self._clients.call(
            address,
            JOIN,
            JoinRequest(self._local_member),
            timeout=JOIN_TIMEOUT_S,
        )
        return joined.is_ok() and joined.unwrap().accepted

    async def _query(self, address: str) -> HelloReply | None:
        req = HelloRequest(self._local_member.name)
        answer = await self._clients.call(
            address, HELLO, req, timeout=QUERY_TIMEOUT_S
        )
        return answer.unwrap() if answer.is_ok() else None

    async def _store(self, members: Members) -> Members:
        await asyncio.to_thread(self._save_members, members)
        return members
