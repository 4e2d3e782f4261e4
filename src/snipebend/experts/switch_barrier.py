"""The barrier before each step of one rank: who has entered, and with what.

A peer can be at most one step ahead within an incarnation, so the present and
the former entry are all that a peer may still lack.
"""

from __future__ import annotations

from enum import Enum

from snipebend.experts.switch_messages import BarrierEntry, MapStamp


class Verdict(Enum):
    """What the entries seen so far say about the entered step."""

    WAITING = 'waiting'
    AGREED = 'agreed'
    MISMATCH = 'mismatch'


class StepBarrier:
    """One rank's view of the barrier."""

    def __init__(self, rank: str) -> None:
        """Begin outside of any step."""
        self.entered: BarrierEntry | None = None
        self._rank = rank
        self._previous: BarrierEntry | None = None
        self._peers: tuple[str, ...] = ()
        self._received: dict[str, dict[int, MapStamp]] = {}

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the other members of the entered incarnation."""
        return self._peers

    def enter(
        self,
        step: int,
        stamp: MapStamp,
        members: tuple[str, ...],
    ) -> BarrierEntry:
        """Enter a step among the members of its incarnation."""
        self.entered = BarrierEntry(self._rank, step, stamp)
        self._peers = tuple(peer for peer in members if peer != self._rank)
        for steps in self._received.values():
            _drop_before(steps, step)
        return self.entered

    def leave(self) -> None:
        """Leave the step, which has run; a slow peer may still ask for it."""
        self._previous = self.entered
        self.entered = None

    def abandon(self) -> None:
        """Give up the step and all of its incarnation."""
        self._previous = None
        self.entered = None

    def note(self, entry: BarrierEntry) -> None:
        """Note a peer's entry; the newest stamp of a step stands."""
        steps = self._received.setdefault(entry.rank, {})
        steps[entry.step] = max(steps.get(entry.step, MapStamp()), entry.stamp)

    def stamps(self) -> tuple[MapStamp | None, ...]:
        """Return the peers' stamps of the entered step; None: not seen."""
        if self.entered is None:
            return ()
        step = self.entered.step
        return tuple(
            self._received.get(peer, {}).get(step) for peer in self._peers
        )

    def verdict(self) -> Verdict:
        """Compare the peers' stamps with our own.

        An entry of an older incarnation counts as not seen.
        """
        if self.entered is None:
            return Verdict.WAITING
        own = self.entered.stamp
        stamps = self.stamps()
        if any(_is_mismatch(stamp, own) for stamp in stamps):
            return Verdict.MISMATCH
        if all(stamp == own for stamp in stamps):
            return Verdict.AGREED
        return Verdict.WAITING

    def entries_to_resend(self) -> tuple[BarrierEntry, ...]:
        """Return the entries that a peer may lack."""
        entries = (self._previous, self.entered)
        return tuple(entry for entry in entries if entry is not None)


def _is_mismatch(stamp: MapStamp | None, own: MapStamp) -> bool:
    if stamp is None or stamp == own:
        return False
    return stamp.incarnation >= own.incarnation


def _drop_before(steps: dict[int, MapStamp], step: int) -> None:
    past = tuple(known for known in steps if known < step)
    for known in past:
        steps.pop(known)
