"""Who belongs to the group: the history in the log and single changes."""

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


class MembersAt(NamedTuple):
    """Members from the log entry at ``since`` on."""

    since: int
    members: Members


class MembersHistory:
    """The members that each point of the log names.

    The latest entry counts as soon as it is in the log, committed or not
    (Ongaro, "Consensus: Bridging Theory and Practice", 2014, 4.1).
    """

    def __init__(self, index: int, members: Members) -> None:
        """Start with the members as of ``index``."""
        self._known = [MembersAt(index, members)]

    @property
    def latest(self) -> Members:
        """The members in force."""
        return self._known[-1].members

    @property
    def latest_index(self) -> int:
        """The index of the entry that gave the members in force."""
        return self._known[-1].since

    def at(self, index: int) -> Members:
        """Give the members as of ``index``, which must not be dropped."""
        known = [one for one in self._known if one.since <= index]
        return known[-1].members

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Take note of the entries that change members."""
        self._known.extend(
            MembersAt(entry.index, decode_members(entry.payload))
            for entry in entries
            if entry.kind is EntryKind.MEMBERS
        )

    def truncate_from(self, index: int) -> None:
        """Forget the entries from ``index`` on."""
        self._known = [one for one in self._known if one.since < index]

    def drop_until(self, index: int, members: Members) -> None:
        """Make ``members`` at ``index`` the start."""
        later = [one for one in self._known if one.since > index]
        self._known = [MembersAt(index, members), *later]


def voter_ids(members: Members) -> tuple[str, ...]:
    """Give the identities that vote."""
    return tuple(member.member_id for member in members.voters)


def find_member(members: Members, member_id: str | None) -> Member | None:
    """Find a voter or learner by its identity."""
    for member in members.voters + members.learners:
        if member.member_id == member_id:
            return member
    return None


def apply_change(members: Members, change: MembersChange) -> Members | None:
    """Give the members after one change, ``None`` if it doesn't fit them.

    Voters change by one at most, so that each majority before the change
    shares a voter with each majority after it.
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
    chosen = _without(members.learners, member_id)
    if len(chosen) == len(members.learners):
        return None
    member = find_member(members, member_id)
    return Members((*members.voters, member), chosen) if member else None


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
