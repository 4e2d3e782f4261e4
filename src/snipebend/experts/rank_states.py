"""State of each rank during a map switch. Performs no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

from snipebend.experts.hold_planner import RETRY_S

#: Initial and maximum delay in seconds from the last ``Prepare`` or ``Arm`` for
#: a rank until the next ``Arm``. The initial delay applies until the rank has
#: refused an ``Arm``, so also after an unanswered one; it is short because the
#: group may be on hold meanwhile. Each refusal doubles the delay up to the
#: maximum, because each order has a cost and a rank with a slow fetch refused
#: a hundred of them.
ARM_RETRY_S = 0.015
MAX_ARM_RETRY_S = 0.12

#: Number of times that one rank may refuse to prepare before the plan is
#: abandoned.
MAX_REFUSALS = 3


@dataclass(slots=True)
class RankProgress:
    """The progress of one rank."""

    sent_at: float = -1
    #: Expected end of its fetches; None until it accepts ``Prepare``.
    expected_ready_at: float | None = None
    armed: bool = False
    in_force: bool = False
    refusals: int = 0
    #: Number of times that it refused ``Arm``.
    arm_refusals: int = 0
    #: Number of ``Prepare`` orders sent.
    prepare_attempts: int = 0

    @property
    def has_refused(self) -> bool:
        """Return whether the rank has refused to prepare too often."""
        return self.expected_ready_at is None and self.refusals >= MAX_REFUSALS

    @property
    def arm_retry_at(self) -> float:
        """Return the time of the next ``Arm`` order."""
        doubled_s = math.ldexp(ARM_RETRY_S, min(8, self.arm_refusals))
        return self.sent_at + min(MAX_ARM_RETRY_S, doubled_s)


class RankStates:
    """All ranks of a group, by number."""

    def __init__(self, size: int) -> None:
        """Create an initial state for each rank."""
        self._ranks = {rank: RankProgress() for rank in range(size)}
        #: Time at which the last rank accepted ``Prepare``, and at which the
        #: last rank did so at its first order.
        self._last_accepted_at: float = 0
        self._last_first_try_accepted_at: float = 0

    def __contains__(self, rank: int) -> bool:
        """Return whether the group has a rank with this number."""
        return rank in self._ranks

    def __getitem__(self, rank: int) -> RankProgress:
        """Return the state of one rank."""
        return self._ranks[rank]

    @property
    def lost_reply_delay_s(self) -> float:
        """Return the delay due to lost replies to ``Prepare``, in seconds."""
        return max(0, self._last_accepted_at - self._last_first_try_accepted_at)

    @property
    def ready_at(self) -> float:
        """Return the expected end of all fetches."""
        return max(rank.expected_ready_at or 0 for rank in self._ranks.values())

    @property
    def any_refused(self) -> bool:
        """Return whether a rank has refused to prepare too often."""
        return any(rank.has_refused for rank in self._ranks.values())

    @property
    def unprepared(self) -> list[int]:
        """Return the ranks that have not accepted ``Prepare``."""
        return [
            number
            for number, rank in self._ranks.items()
            if rank.expected_ready_at is None
        ]

    @property
    def unarmed(self) -> list[int]:
        """Return the ranks that are not armed."""
        return [
            number for number, rank in self._ranks.items() if not rank.armed
        ]

    @property
    def any_armed(self) -> bool:
        """Return whether a rank is armed."""
        return any(rank.armed for rank in self._ranks.values())

    @property
    def all_in_force(self) -> bool:
        """Return whether every rank has activated the map."""
        return all(rank.in_force for rank in self._ranks.values())

    def note_prepare_accepted(
        self, rank: int, now: float, ready_at: float
    ) -> None:
        """Record that a rank has started to fetch its experts."""
        state = self._ranks[rank]
        state.expected_ready_at = ready_at
        self._last_accepted_at = now
        if state.prepare_attempts == 1:
            self._last_first_try_accepted_at = now

    def disarm(self) -> None:
        """Mark all ranks as not armed after the armed pass has started."""
        for rank in self._ranks.values():
            rank.armed = False

    def next_to_prepare(self, now: float) -> list[int]:
        """Return the ranks that are due for ``Prepare`` and record the send."""
        due = [
            number
            for number, rank in self._ranks.items()
            if rank.expected_ready_at is None and now >= rank.sent_at + RETRY_S
        ]
        for number in due:
            self._ranks[number].sent_at = now
            self._ranks[number].prepare_attempts += 1
        self._last_first_try_accepted_at = (
            self._last_first_try_accepted_at or now
        )
        return due

    def next_to_arm(self, now: float) -> list[int]:
        """Return the ranks that are due for ``Arm`` and record the send."""
        due = [
            number
            for number, rank in self._ranks.items()
            if not rank.armed and now >= rank.arm_retry_at
        ]
        for number in due:
            self._ranks[number].sent_at = now
        return due
