"""What a coordinator knows of each rank while it switches maps (pure)."""

from __future__ import annotations

import math
from dataclasses import dataclass

from snipebend.experts.hold_aim import RETRY_S

#: Seconds before a rank that refused to be armed is asked again: the group may
#: stand still meanwhile. Doubled with each refusal up to the second figure:
#: each order is paid for, and a rank that fetches slowly refused a hundred.
ARM_RETRY_S = 0.015
MAX_ARM_RETRY_S = 0.12

#: Refusals of one rank to prepare after which the plan is given up.
MAX_REFUSALS = 3


@dataclass(slots=True)
class RankState:
    """What is known of one rank."""

    sent_at: float = -1
    #: When it should have fetched its experts; none: it wasn't told to.
    prepared_at: float | None = None
    armed: bool = False
    in_force: bool = False
    refusals: int = 0
    #: Refusals to be armed, since it was last told to prepare.
    arm_refusals: int = 0
    #: How often it was told to prepare.
    tries: int = 0

    @property
    def refuses(self) -> bool:
        """Tell whether it won't prepare."""
        return self.prepared_at is None and self.refusals >= MAX_REFUSALS

    @property
    def arm_retry_at(self) -> float:
        """Return when it may be told again to be armed."""
        doubled_s = math.ldexp(ARM_RETRY_S, min(8, self.arm_refusals))
        return self.sent_at + min(MAX_ARM_RETRY_S, doubled_s)


class RankStates:
    """All ranks of a group, by number."""

    def __init__(self, size: int) -> None:
        """Start without knowledge of any rank."""
        self._ranks = {rank: RankState() for rank in range(size)}
        #: When the last rank was told to prepare, and when the last one that
        #: took its first order for it.
        self._told_at: float = 0
        self._first_try_accepted_at: float = 0

    def __contains__(self, rank: int) -> bool:
        """Tell whether a number is one of the group's."""
        return rank in self._ranks

    def __getitem__(self, rank: int) -> RankState:
        """Return one rank."""
        return self._ranks[rank]

    @property
    def lost_reply_delay_s(self) -> float:
        """Return the seconds that lost answers cost while ranks were told."""
        return max(0, self._told_at - self._first_try_accepted_at)

    @property
    def ready_at(self) -> float:
        """Return when every rank should have fetched its experts."""
        return max(rank.prepared_at or 0 for rank in self._ranks.values())

    @property
    def any_refuses(self) -> bool:
        """Tell whether a rank won't prepare."""
        return any(rank.refuses for rank in self._ranks.values())

    @property
    def unprepared(self) -> list[int]:
        """Return the ranks that neither fetch nor have fetched experts."""
        return [
            number
            for number, rank in self._ranks.items()
            if rank.prepared_at is None
        ]

    @property
    def unarmed(self) -> list[int]:
        """Return the ranks that aren't armed."""
        return [
            number for number, rank in self._ranks.items() if not rank.armed
        ]

    @property
    def all_in_force(self) -> bool:
        """Tell whether every rank has switched."""
        return all(rank.in_force for rank in self._ranks.values())

    def note_prepare_accepted(
        self, rank: int, now: float, ready_at: float
    ) -> None:
        """Take note that a rank fetches its experts."""
        state = self._ranks[rank]
        state.prepared_at = ready_at
        self._told_at = now
        if state.tries == 1:
            self._first_try_accepted_at = now

    def disarm(self) -> None:
        """Forget who was armed, for a pass that has begun."""
        for rank in self._ranks.values():
            rank.armed = False

    def next_to_prepare(self, now: float) -> list[int]:
        """Return the ranks that are to be told to prepare now."""
        due = [
            number
            for number, rank in self._ranks.items()
            if rank.prepared_at is None and now >= rank.sent_at + RETRY_S
        ]
        for number in due:
            self._ranks[number].sent_at = now
            self._ranks[number].tries += 1
        self._first_try_accepted_at = self._first_try_accepted_at or now
        return due

    def next_to_arm(self, now: float) -> list[int]:
        """Return the ranks that are to be armed now."""
        due = [
            number
            for number, rank in self._ranks.items()
            if not rank.armed and now >= rank.arm_retry_at
        ]
        for number in due:
            self._ranks[number].sent_at = now
        return due
