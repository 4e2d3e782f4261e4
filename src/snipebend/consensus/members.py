"""Group membership: its history in the log, and changes of one member."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from snipebend.consensus.events import (
    AddLearner,
    MembersChange,
    PromoteLearner,
    RemoveMember,
)
from snipebend.consensus.records import (
    EntryKind,
    Member,
    Members,
    decode_members,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.consensus.records import LogEntry


class MembersVersion(NamedTuple):
    """The members in force from the log entry at ``since_index`` on."""

    since_index: int
    members: Members


class MembersHistory:
    """The members in force at each index of the log.

    A change takes effect as soon as it is in the log, committed or not
    (Ongaro, "Consensus: Bridging Theory and Practice", 2014, 4.1).
    """

    def __init__(self, index: int, members: Members) -> None:
        """Create a history that begins with the members as of ``index``."""
        self._versions = [MembersVersion(index, members)]

    @property
    def latest(self) -> Members:
        """The current members."""
        return self._versions[-1].members

    @property
    def latest_index(self) -> int:
        """The index of the entry that set the current members."""
        return self._versions[-1].since_index

    def at(self, index: int) -> Members:
        """Return the members as of ``index``, which must not be dropped."""
        versions = [one for one in self._versions if one.since_index <= index]
        return versions[-1].members

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Record the changes of members among the entries."""
        self._versions.extend(
            MembersVersion(entry.index, decode_members(entry.payload))
            for entry in entries
            if entry.kind is EntryKind.MEMBERS
        )

    def truncate_from(self, index: int) -> None:
        """Discard the changes from ``index`` on."""
        self._versions = [
            one for one in self._versions if one.since_index < index
        ]

    def drop_until(self, index: int, members: Members) -> None:
        """Discard the history before ``index``, at which ``members`` hold."""
        later = [one for one in self._versions if one.since_index > index]
        self._versions = [MembersVersion(index, members), *later]


def voter_ids(members: Members) -> tuple[str, ...]:
    """Return the ids of the voters."""
    return tuple(member.member_id for member in members.voters)


def find_member(members: Members, member_id: str | None) -> Member | None:
    """Find a voter or learner by its id."""
    for member in members.voters + members.learners:
        if member.member_id == member_id:
            return member
    return None


def apply_change(members: Members, change: MembersChange) -> Members | None:
    """Return the members after a change; ``None`` if the change is invalid.

    At most one voter is added or removed, so that each majority before the
    change shares a voter with each majority after it.
    """
    match change:
        case AddLearner(member):
            return _add(members, member)
        case PromoteLearner(member_id):
            return _promote(members, member_id)
        case RemoveMember(member_id):
            return _remove(members, member_id)


def _add(members: Members, member: Member) -> Members | None:
    if find_member(members, member.member_id) is not None:
        return None
    return Members(members.voters, (*members.learners, member))


def _promote(members: Members, member_id: str) -> Members | None:
    remaining = _without(members.learners, member_id)
    if len(remaining) == len(members.learners):
        return None
    member = find_member(members, member_id)
    return Members((*members.voters, member), remaining) if member else None


def _remove(members: Members, member_id: str) -> Members | None:
    if find_member(members, member_id) is None:
        return None
    voters = _without(members.voters, member_id)
    return (
        Members(voters, _without(members.learners, member_id))
        if voters
        else None
    )


def _without(members: tuple[Member, ...], member_id: str) -> tuple[Member, ...]:
    return tuple(one for one in members if one.member_id != member_id)
