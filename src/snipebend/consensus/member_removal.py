"""Selects a failed member that the leader removes; performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.consensus.records import Member, Members

#: Seconds without contact after which a member can be removed. A restart takes
#: about two seconds; a member that comes back later is added again.
REMOVAL_TIMEOUT_S = 3.0

#: Responsive voters that must be left before an unresponsive one is removed.
#: With fewer, removing a member that may come back gains nothing.
MIN_RESPONSIVE_VOTERS = 3


def find_failed_member(
    members: Members, contact_ages: Mapping[str, float]
) -> Member | None:
    """Return a member to remove: an unresponsive voter that was replaced.

    If it were kept after its replacement was added, the group would have one
    voter more, and the next failure would leave it without a majority. Without
    such a voter, a learner is removed after twice the timeout.
    """
    unresponsive = [
        voter
        for voter in members.voters
        if contact_ages.get(voter.member_id, 0) > REMOVAL_TIMEOUT_S
    ]
    if (
        len(members.voters) - len(unresponsive) >= MIN_RESPONSIVE_VOTERS
        and unresponsive
    ):
        return max(
            unresponsive, key=lambda voter: contact_ages[voter.member_id]
        )
    for learner in members.learners:
        if contact_ages.get(learner.member_id, 0) > 2 * REMOVAL_TIMEOUT_S:
            return learner
    return None
