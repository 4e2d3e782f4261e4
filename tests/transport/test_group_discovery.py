"""A lost disk must neither cause a second group nor prevent a join.

A daemon whose disk was lost starts with an empty data folder and does not know
of the group. It must not found another one, and must find the leader even if
the leader is not in its list. A join request of an earlier incarnation can
arrive late and must not replace the current member.
"""

from __future__ import annotations

import unittest
from typing import Any

from result import Err, Ok, Result

from snipebend.consensus.records import Member, Members
from snipebend.errors.hierarchy import UnavailableError
from snipebend.transport.group_discovery import GroupDiscovery
from snipebend.transport.group_messages import (
    HelloReply,
    JoinReply,
    JoinRequest,
)
from snipebend.transport.membership_manager import MembershipManager
from snipebend.transport.methods import HELLO

_ADDRESSES = ('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3', '127.0.0.1:4')

#: The daemons listed in the settings; only other members know the fourth one.
_LISTED = _ADDRESSES[:3]


def member(number: int, incarnation: int = 1) -> Member:
    """Return a member; each incarnation has a new disk and identity."""
    name = f'c-{number}'
    return Member(f'{name}-{incarnation}', name, _ADDRESSES[number - 1])


class FakePeers:
    """Replies of daemons by address; daemons without a reply are down."""

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
    """A daemon founds a group only if no listed daemon can know of one."""

    async def run_round(
        self, local_member: Member, peers: FakePeers
    ) -> Members | None:
        self.saved: list[Members] = []
        clients: Any = peers
        discovery = GroupDiscovery(
            local_member, _LISTED, clients, self.saved.append
        )
        return await discovery.run_round()

    async def test_only_the_first_daemon_founds_and_only_with_all_replies(
        self,
    ) -> None:
        new_replies = [HelloReply(member(number)) for number in (1, 2, 3)]
        all_three = Members((member(1), member(2), member(3)))
        found = await self.run_round(
            member(1), FakePeers(new_replies[1], new_replies[2])
        )
        self.assertEqual((found, self.saved), (all_three, [all_three]))
        self.assertIsNone(
            await self.run_round(member(1), FakePeers(new_replies[1]))
        )
        waiting = await self.run_round(
            member(2), FakePeers(new_replies[0], new_replies[2])
        )
        self.assertEqual((waiting, self.saved), (None, []))

    async def test_a_new_disk_joins_the_leader_and_never_founds(self) -> None:
        group = Members((member(1), member(2), member(3)))
        reply = HelloReply(member(3), group)
        rejoining = member(1, incarnation=2)
        peers = FakePeers(HelloReply(member(2, incarnation=2)), reply)
        self.assertIsNone(await self.run_round(rejoining, peers))
        peers.leader = _ADDRESSES[2]
        self.assertEqual(await self.run_round(rejoining, peers), Members())
        self.assertEqual((peers.joined, self.saved), ([rejoining], []))
        adopted = await self.run_round(member(2), FakePeers(reply))
        self.assertEqual((adopted, self.saved), (group, [group]))

    async def test_unlisted_leader_adds_a_member_with_a_new_disk(
        self,
    ) -> None:
        """The listed members know the leader's address.

        After the list of daemons had been replaced, a daemon with a lost disk
        queried only the listed daemons for 6 s; none of them was the leader.
        Then a power loss destroyed two more disks, three of five, and the group
        never served again. The daemon's log showed that the group was not found
        5.8 s after its start, and the leader's log had no ``member_replaced``.
        """
        voters = [member(number) for number in (1, 2, 3, 4)]
        group = Members(tuple(voters))
        peers = FakePeers(*(HelloReply(one, group) for one in voters[1:]))
        peers.leader = _ADDRESSES[3]
        rejoining = member(1, incarnation=2)
        self.assertEqual(await self.run_round(rejoining, peers), Members())
        self.assertEqual(peers.joined, [rejoining])


class FakeGroup:
    """Accepts and records every membership change."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.changes: list[Any] = []

    @property
    def status(self) -> FakeGroup:
        return self

    async def change_members(self, change: Any) -> Result[int, Any]:
        self.changes.append(change)
        return Ok(1)


class JoinTest(unittest.IsolatedAsyncioTestCase):
    """The leader verifies an identity at its address before adding it."""

    async def join(
        self, joiner: Member, member_at_address: Member
    ) -> list[str]:
        group: Any = FakeGroup(Members((member(1), member(2), member(3))))
        peers: Any = FakePeers(HelloReply(member_at_address))
        names = frozenset(('c-1', 'c-2', 'c-3'))
        manager = MembershipManager(group, group, names, peers)
        await manager.join(JoinRequest(joiner))
        return [type(change).__name__ for change in group.changes]

    async def test_a_late_request_of_an_earlier_incarnation_is_refused(
        self,
    ) -> None:
        second, third = member(2, incarnation=2), member(2, incarnation=3)
        self.assertEqual(await self.join(second, third), [])
        changes = await self.join(third, third)
        self.assertEqual(changes, ['RemoveMember', 'AddLearner'])
        self.assertEqual(await self.join(member(2), member(2)), [])
