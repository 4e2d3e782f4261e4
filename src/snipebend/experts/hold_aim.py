"""Which pass a group is held before (pure).

The later the pass, the longer a group works with a map that no longer fits; a
pass that has begun can't be held, and one that comes before all ranks are
armed has the group stand still.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

#: Seconds before an order without an answer is sent again, on top of the time
#: for which its answer was awaited.
RETRY_S = 0.02

#: Seconds for which a step that was read is taken as it is. Extrapolated over
#: a fetch of 0.4 s it was up to seven passes ahead, as passes grow longer when
#: demand turns: the group was held 0.5 to 1 s later than it could be.
STEP_VALID_S = 0.03

#: Passes between the one that should be under way and the one to hold before.
#: A pass takes 50 ms and more, an order a few; one that comes too late is
#: refused, and a later pass is named at once. On six days of turns every 3 s, 1
#: came to a worth of 0.698 and 2 to 0.658; groups stood still in neither.
AHEAD = 1

#: Seconds that lost answers cost as ranks were told to prepare: from here on
#: they will cost as much again to arm them. Counted as two passes for each
#: round of lost answers, whatever their length, the group was held up to ten
#: passes later, 1.2 s of long passes.
LEAST_LOSSES_S = 0.02

#: Seconds of a pass at the least: readings that a process gets at one moment,
#: since it was frozen, would tell of passes without length.
LEAST_PASS_S = 0.02

#: Passes on top of what lost answers will cost: the present one is half over.
LOSS_MARGIN = 1


@dataclass(slots=True)
class HoldAim:
    """What is known of a group's passes, and the tries to hold one."""

    #: The last pass known, and when it was.
    step: int = 0
    step_at: float = 0
    #: Seconds of a pass, as far as known.
    pass_s: float = 0.1
    _tries: int = 0
    _refused: bool = False
    _sent_at: float = -1

    def is_stale(self, now: float) -> bool:
        """Tell whether the pass under way must be read anew."""
        return now >= self.step_at + STEP_VALID_S

    def note_step(self, step: int, now: float) -> None:
        """Take over the pass that was just read, and the pace since."""
        passes = step - self.step
        if self.step_at and passes > 0:
            self.pass_s = max(LEAST_PASS_S, (now - self.step_at) / passes)
        self.step = max(self.step, step)
        self.step_at = now

    def note_report(self, step: int) -> None:
        """Take over a pass that began some hundred milliseconds ago."""
        self.step = max(self.step, step)

    def note_refusal(self) -> None:
        """Take note that the pass had begun."""
        self._refused = True
        self._tries += 1

    def is_due(self, now: float) -> bool:
        """Tell whether to try now: refused ones are followed at once."""
        return self._refused or now >= self._sent_at + RETRY_S

    def take(self, now: float, losses_s: float) -> int:
        """Return the pass to hold before; lost answers cost ``losses_s``."""
        self._sent_at = now
        self._refused = False
        ahead = AHEAD + self._tries
        if losses_s > LEAST_LOSSES_S:
            ahead += LOSS_MARGIN + math.ceil(losses_s / self.pass_s)
        passed = int((now - self.step_at) / self.pass_s) if self.step_at else 0
        return self.step + passed + ahead
