"""Which member the leader removes because it has gone for good (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.consensus.records import Member, Members

#: Seconds of silence after which a member may be removed. A restart takes
#: about two; whoever comes back later is taken in again.
GONE_AFTER_S = 3.0

#: Voters that must be heard for a silent one to be removed: fewer would trade
#: a member that may come back for nothing.
LEAST_HEARD = 3


def find_gone(members: Members, silences: Mapping[str, float]) -> Member | None:
    """Return a member to remove: a silent voter that has a successor.

    Without the removal a group that took in a successor has one voter more,
    and the next loss leaves it without a majority.
    """
    silent = [
        voter
        for voter in members.voters
        if silences.get(voter.member_id, 0) > GONE_AFTER_S
    ]
    if len(members.voters) - len(silent) >= LEAST_HEARD and silent:
        return max(silent, key=lambda voter: silences[voter.member_id])
    for learner in members.learners:
        if silences.get(learner.member_id, 0) > 2 * GONE_AFTER_S:
            return learner
    return None
