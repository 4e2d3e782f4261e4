"""Changes the members of a control group while this daemon is the leader.

It adds members with new disks, promotes learners and removes failed members.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.consensus.events import (
    AddLearner,
    MembersChange,
    PromoteLearner,
    RemoveMember,
)
from snipebend.consensus.member_removal import find_failed_member
from snipebend.transport.group_messages import HelloRequest, JoinReply
from snipebend.transport.methods import HELLO

if TYPE_CHECKING:
    from snipebend.consensus.records import Member
    from snipebend.transport.group_messages import JoinRequest
    from snipebend.transport.leader_client import LeaderClient
    from snipebend.transport.replica import Replica
    from snipebend.transport.rpc_clients import RpcClients

#: Seconds between two checks of the members.
CHECK_INTERVAL_S = 0.2

#: Timeout in seconds of the query for the identity at an address.
HELLO_TIMEOUT_S = 1.0


class MembershipManager:
    """Changes the group one member at a time, based on committed members.

    Each step depends only on the current members, so a new leader continues
    where the previous one stopped.
    """

    def __init__(
        self,
        replica: Replica,
        leader_client: LeaderClient,
        names: frozenset[str] | None,
        clients: RpcClients,
    ) -> None:
        """Store the replica; if ``names`` is set, only these may join."""
        self._replica = replica
        self._leader_client = leader_client
        self._names = names
        self._clients = clients

    async def run(self) -> None:
        """Promote learners and remove failed members, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._replica.leads:
                for learner in self._replica.status.members.learners:
                    await self._promote(learner)
                if self._names is None:
                    await self._remove_failed()

    async def join(self, req: JoinRequest) -> JoinReply:
        """Add a member with a new disk in place of its previous identity.

        The identity is verified by a call to the member's address, so that a
        delayed request of a previous identity has no effect.
        """
        joiner = req.member
        if self._names is not None and joiner.name not in self._names:
            return JoinReply(accepted=False, reason='not in the list')
        if not await self._answers_at_address(joiner):
            return JoinReply(accepted=False, reason='another identity answers')
        for old in self._same_name_members(joiner):
            logger.info('event=member_replaced member={}', old.member_id)
            if not await self._propose_change(RemoveMember(old.member_id)):
                return JoinReply(accepted=False, reason='not now')
        if joiner in self._all_members():
            return JoinReply(accepted=True)
        accepted = await self._propose_change(AddLearner(joiner))
        return JoinReply(accepted, '' if accepted else 'not now')

    async def _promote(self, learner: Member) -> None:
        if not await self._propose_change(PromoteLearner(learner.member_id)):
            return
        logger.info(
            'event=repair_done name={} member={}',
            learner.name,
            learner.member_id,
        )

    async def _remove_failed(self) -> None:
        members = self._replica.status.members
        failed = find_failed_member(members, self._replica.contact_ages())
        if failed is None:
            return
        if await self._propose_change(RemoveMember(failed.member_id)):
            logger.info(
                'event=member_removed name={} member={}',
                failed.name,
                failed.member_id,
            )

    async def _answers_at_address(self, member: Member) -> bool:
        outcome = await self._clients.call(
            member.address,
            HELLO,
            HelloRequest(''),
            timeout=HELLO_TIMEOUT_S,
        )
        return outcome.is_ok() and outcome.unwrap().member == member

    async def _propose_change(self, change: MembersChange) -> bool:
        outcome = await self._leader_client.change_members(change)
        return outcome.is_ok()

    def _same_name_members(self, joiner: Member) -> list[Member]:
        return [
            member
            for member in self._all_members()
            if member.name == joiner.name
            and member.member_id != joiner.member_id
        ]

    def _all_members(self) -> tuple[Member, ...]:
        members = self._replica.status.members
        return members.voters + members.learners
