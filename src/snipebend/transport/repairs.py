"""The leader's work on members: takes in new disks, promotes learners."""

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
    from snipebend.transport.group_questions import GroupQuestions
    from snipebend.transport.replica import Replica
    from snipebend.transport.rpc_clients import RpcClients

#: Seconds between two looks at the learners.
EVERY_S = 0.2

#: Seconds for the check of who stands at an address.
HELLO_TIMEOUT_S = 1.0


class Repairs:
    """Changes the group one member at a time, from what is committed.

    Each step is decided from the members as they stand, so a new leader goes
    on where the old one stopped.
    """

    def __init__(
        self,
        replica: Replica,
        questions: GroupQuestions,
        names: frozenset[str] | None,
        clients: RpcClients,
    ) -> None:
        """Keep the replica; only the listed names may join, if there are."""
        self._replica = replica
        self._questions = questions
        self._names = names
        self._clients = clients

    async def run(self) -> None:
        """Promote learners that have caught up, until cancelled."""
        while True:
            await asyncio.sleep(EVERY_S)
            if self._replica.leads:
                for learner in self._replica.status.members.learners:
                    await self._promote(learner)
                if self._names is None:
                    await self._remove_gone()

    async def join(self, req: JoinRequest) -> JoinReply:
        """Take in a member with a new disk in the place of its old identity.

        The asker's address is called back, so that a late copy of an earlier
        identity's request changes nothing.
        """
        joiner = req.member
        if self._names is not None and joiner.name not in self._names:
            return JoinReply(accepted=False, reason='not in the list')
        if not await self._is_at_home(joiner):
            return JoinReply(accepted=False, reason='another identity answers')
        for old in self._namesakes(joiner):
            logger.info('event=member_replaced member={}', old.member_id)
            if not await self._change(RemoveMember(old.member_id)):
                return JoinReply(accepted=False, reason='not now')
        if joiner in self._everybody():
            return JoinReply(accepted=True)
        accepted = await self._change(AddLearner(joiner))
        return JoinReply(accepted, '' if accepted else 'not now')

    async def _promote(self, learner: Member) -> None:
        if not await self._change(PromoteLearner(learner.member_id)):
            return
        logger.info(
            'event=repair_done name={} member={}',
            learner.name,
            learner.member_id,
        )

    async def _remove_gone(self) -> None:
        members = self._replica.status.members
        gone = find_failed_member(members, self._replica.contact_ages())
        if gone is None:
            return
        if await self._change(RemoveMember(gone.member_id)):
            logger.info(
                'event=member_removed name={} member={}',
                gone.name,
                gone.member_id,
            )

    async def _is_at_home(self, member: Member) -> bool:
        answer = await self._clients.call(
            member.address,
            HELLO,
            HelloRequest(''),
            timeout=HELLO_TIMEOUT_S,
        )
        return answer.is_ok() and answer.unwrap().member == member

    async def _change(self, change: MembersChange) -> bool:
        answer = await self._questions.change_members(change)
        return answer.is_ok()

    def _namesakes(self, joiner: Member) -> list[Member]:
        return [
            member
            for member in self._everybody()
            if member.name == joiner.name
            and member.member_id != joiner.member_id
        ]

    def _everybody(self) -> tuple[Member, ...]:
        members = self._replica.status.members
        return members.voters + members.learners
