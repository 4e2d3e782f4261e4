"""Which pass a group is held before (pure).

The later the pass, the longer a group works with a map that no longer fits; a
pass that has begun can't be held, and one that comes before all ranks are
armed has the group stand still.
"""

from __future__ import annotations

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
#: refused, and a later pass is named at once.
AHEAD = 2

#: Further passes for each round in which some order got no answer: arming will
#: take as many rounds, and the group stands still if it reaches the held pass
#: before all ranks are armed.
PER_ROUND = 2


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
        """Take over the pass that was just read."""
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

    def take(self, now: float, rounds: int) -> int:
        """Return the pass to hold before; ``rounds`` of orders may be lost."""
        self._sent_at = now
        self._refused = False
        ahead = AHEAD + self._tries + PER_ROUND * max(0, rounds - 1)
        passed = int((now - self.step_at) / self.pass_s) if self.step_at else 0
        return self.step + passed + ahead
