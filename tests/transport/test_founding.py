"""Who may found a group, who must join, and whose request counts."""

from __future__ import annotations

import unittest
from typing import Any

from result import Err, Ok, Result

from snipebend.consensus.records import Member, Members
from snipebend.errors.hierarchy import UnavailableError
from snipebend.transport.founding import Founding
from snipebend.transport.group_messages import (
    HelloReply,
    JoinReply,
    JoinRequest,
)
from snipebend.transport.methods import HELLO
from snipebend.transport.repairs import Repairs

_ADDRESSES = ('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3', '127.0.0.1:4')

#: The daemons that settings list; a fourth is known to the others only.
_LISTED = _ADDRESSES[:3]


def member(number: int, life: int = 1) -> Member:
    """Return a listed daemon in one of its lives, a disk each."""
    name = f'c-{number}'
    return Member(f'{name}-{life}', name, _ADDRESSES[number - 1])


class FakePeers:
    """Answers of daemons by address; those left out don't answer."""

    def __init__(self, *replies: HelloReply) -> None:
        self.replies = {reply.member.address: reply for reply in replies}
        self.leader = ''
        self.joined: list[Member] = []

    async def call(
        self, peer: str, method: Any, req: Any, *, timeout: float
    ) -> Result[Any, UnavailableError]:
        if peer not in self.replies:
            return Err(UnavailableError('down', step='call', peer=peer))
        if method is HELLO:
            return Ok(self.replies[peer])
        if peer == self.leader:
            self.joined.append(req.member)
        return Ok(JoinReply(peer == self.leader))


class FoundingTest(unittest.IsolatedAsyncioTestCase):
    """An empty disk founds a group only when nobody can know of one."""

    async def ask(self, own: Member, peers: FakePeers) -> Members | None:
        self.kept: list[Members] = []
        clients: Any = peers
        founding = Founding(own, _LISTED, clients, self.kept.append)
        return await founding.ask_round()

    async def test_only_the_first_founds_and_only_with_all(self) -> None:
        fresh = [HelloReply(member(number)) for number in (1, 2, 3)]
        all_three = Members((member(1), member(2), member(3)))
        found = await self.ask(member(1), FakePeers(fresh[1], fresh[2]))
        self.assertEqual((found, self.kept), (all_three, [all_three]))
        self.assertIsNone(await self.ask(member(1), FakePeers(fresh[1])))
        waiting = await self.ask(member(2), FakePeers(fresh[0], fresh[2]))
        self.assertEqual((waiting, self.kept), (None, []))

    async def test_a_new_disk_joins_the_leader_and_never_founds(self) -> None:
        group = Members((member(1), member(2), member(3)))
        knows = HelloReply(member(3), group)
        again = member(1, life=2)
        peers = FakePeers(HelloReply(member(2, life=2)), knows)
        self.assertIsNone(await self.ask(again, peers))
        peers.leader = _ADDRESSES[2]
        self.assertEqual(await self.ask(again, peers), Members())
        self.assertEqual((peers.joined, self.kept), ([again], []))
        adopted = await self.ask(member(2), FakePeers(knows))
        self.assertEqual((adopted, self.kept), (group, [group]))

    async def test_a_leader_that_is_not_listed_takes_a_new_disk_in(
        self,
    ) -> None:
        """The listed ones know it.

        What users saw: nothing was served for good after a loss of power in
        which two control daemons lost their disks. The order of events: the
        list of daemons was exchanged; one daemon's disk was lost, and it asked
        the listed ones for 6 s, each of which said that it doesn't lead; then
        two more disks were lost, three of five. The cause: nobody but the
        listed ones was asked. Proved by that daemon's lines ("the group is not
        found yet" 5.8 s after its start, no `member_replaced` at the leader).
        """
        voters = [member(number) for number in (1, 2, 3, 4)]
        knows = Members(tuple(voters))
        peers = FakePeers(*(HelloReply(one, knows) for one in voters[1:]))
        peers.leader = _ADDRESSES[3]
        again = member(1, life=2)
        self.assertEqual(await self.ask(again, peers), Members())
        self.assertEqual(peers.joined, [again])


class _FakeGroup:
    """Takes every change of the members and notes it."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.changes: list[Any] = []

    @property
    def status(self) -> _FakeGroup:
        return self

    async def change_members(self, change: Any) -> Result[int, Any]:
        self.changes.append(change)
        return Ok(1)


class JoinTest(unittest.IsolatedAsyncioTestCase):
    """The leader believes the address, not the request."""

    async def join(self, joiner: Member, at_home: Member) -> list[str]:
        group: Any = _FakeGroup(Members((member(1), member(2), member(3))))
        peers: Any = FakePeers(HelloReply(at_home))
        names = frozenset(('c-1', 'c-2', 'c-3'))
        repairs = Repairs(group, group, names, peers)
        await repairs.join(JoinRequest(joiner))
        return [type(change).__name__ for change in group.changes]

    async def test_a_late_request_of_an_earlier_life_is_refused(self) -> None:
        second, third = member(2, life=2), member(2, life=3)
        self.assertEqual(await self.join(second, third), [])
        changes = await self.join(third, third)
        self.assertEqual(changes, ['RemoveMember', 'AddLearner'])
        self.assertEqual(await self.join(member(2), member(2)), [])
