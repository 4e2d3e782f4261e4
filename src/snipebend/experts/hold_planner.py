"""Choice of the pass before which a group is held for a switch; no I/O.

The later the pass, the longer a group works with an outdated map. A pass that
has begun can't be held, and a hold before a pass that comes before all ranks
are armed makes the group idle.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

#: Seconds until an order without a reply is sent again, in addition to the time
#: for which the reply was awaited.
RETRY_S = 0.02

#: Seconds for which a reading of the current step is used without reading it
#: again. Extrapolating it over a fetch of 0.4 s overestimated the step by up to
#: seven passes, since passes become longer when demand shifts: the group was
#: held 0.5 to 1 s later than possible.
STEP_VALID_S = 0.03

#: Number of passes from the one that should be in progress to the one to hold
#: before. A pass takes 50 ms and more, an order a few milliseconds; a hold that
#: comes too late is refused, and a later pass is chosen at once. On six
#: simulated days with shifts of demand every 3 s, responses had 0.698 of their
#: full value with 1 and 0.658 with 2; groups were idle in neither case.
PASSES_AHEAD = 1

#: Seconds lost to missing replies while ranks were preparing, above which
#: the hold is planned later: arming the ranks is expected to lose as much
#: again. With two passes counted for each round of missing replies, whatever
#: the pass time, the group was held up to ten passes too late, which is 1.2 s
#: of long passes.
LOSS_THRESHOLD_S = 0.02

#: Lower bound of a measured pass time in seconds. A process that was frozen
#: receives several readings at the same moment, which would give a pass time of
#: zero.
MIN_PASS_S = 0.02

#: Passes in addition to those that missing replies are expected to take, since
#: the current pass is half over on average.
LOSS_MARGIN_PASSES = 1


@dataclass(slots=True)
class HoldPlanner:
    """Tracks a group's passes and the attempts to hold one of them."""

    #: The last known pass, and when it was observed.
    step: int = 0
    step_at: float = 0
    #: Pass time in seconds; an assumption until it is measured.
    pass_s: float = 0.1
    _refusals: int = 0
    _refused: bool = False
    _sent_at: float = -1

    def is_stale(self, now: float) -> bool:
        """Return whether the current pass must be read again."""
        return now >= self.step_at + STEP_VALID_S

    def note_step(self, step: int, now: float) -> None:
        """Record the pass that was just read, and the pass time since."""
        passes = step - self.step
        if self.step_at and passes > 0:
            self.pass_s = max(MIN_PASS_S, (now - self.step_at) / passes)
        self.step = max(self.step, step)
        self.step_at = now

    def note_report(self, step: int) -> None:
        """Record a reported pass, which began some hundred milliseconds ago."""
        self.step = max(self.step, step)

    def note_refusal(self) -> None:
        """Record a refused hold: the pass had already begun."""
        self._refused = True
        self._refusals += 1

    def is_due(self, now: float) -> bool:
        """Return whether to send a hold now; at once after a refusal."""
        return self._refused or now >= self._sent_at + RETRY_S

    def choose_step(self, now: float, losses_s: float) -> int:
        """Return the pass to hold before.

        ``losses_s`` is the time that was lost to missing replies.
        """
        self._sent_at = now
        self._refused = False
        ahead = PASSES_AHEAD + self._refusals
        if losses_s > LOSS_THRESHOLD_S:
            ahead += LOSS_MARGIN_PASSES + math.ceil(losses_s / self.pass_s)
        passed = int((now - self.step_at) / self.pass_s) if self.step_at else 0
        return self.step + passed + ahead
