"""The barrier before each step of one rank, with the map stamps of all peers.

A peer can be at most one step ahead within an incarnation, so a peer can miss
only the current and the previous entry.
"""

from __future__ import annotations

from enum import Enum

from snipebend.experts.switch_messages import BarrierEntry, MapStamp


class Verdict(Enum):
    """Result of comparing the entries received for the current step."""

    WAITING = 'waiting'
    AGREED = 'agreed'
    MISMATCH = 'mismatch'


class StepBarrier:
    """One rank's state of the barrier."""

    def __init__(self, rank: str) -> None:
        """Start outside of any step."""
        self.entered: BarrierEntry | None = None
        self._rank = rank
        self._previous: BarrierEntry | None = None
        self._peers: tuple[str, ...] = ()
        self._received: dict[str, dict[int, MapStamp]] = {}

    @property
    def peers(self) -> tuple[str, ...]:
        """Return the other members of the current incarnation."""
        return self._peers

    def enter(
        self,
        step: int,
        stamp: MapStamp,
        members: tuple[str, ...],
    ) -> BarrierEntry:
        """Enter a step with the members of its incarnation."""
        self.entered = BarrierEntry(self._rank, step, stamp)
        self._peers = tuple(peer for peer in members if peer != self._rank)
        for steps in self._received.values():
            _drop_before(steps, step)
        return self.entered

    def leave(self) -> None:
        """Leave the finished step; its entry is kept for slow peers."""
        self._previous = self.entered
        self.entered = None

    def abandon(self) -> None:
        """Discard the entries of the current incarnation."""
        self._previous = None
        self.entered = None

    def record(self, entry: BarrierEntry) -> None:
        """Record a peer's entry; the newest stamp of a step is kept."""
        steps = self._received.setdefault(entry.rank, {})
        steps[entry.step] = max(steps.get(entry.step, MapStamp()), entry.stamp)

    def stamps(self) -> tuple[MapStamp | None, ...]:
        """Return the peers' stamps of this step, None if not received."""
        if self.entered is None:
            return ()
        step = self.entered.step
        return tuple(
            self._received.get(peer, {}).get(step) for peer in self._peers
        )

    def verdict(self) -> Verdict:
        """Compare the peers' stamps with the stamp of this rank.

        An entry of an older incarnation counts as not received.
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
        """Return the entries that a peer may be missing."""
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
