"""What a rank has promised, installed and fetched: its side of a switch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.switch_messages import MapStamp, SwitchDecision

if TYPE_CHECKING:
    from snipebend.experts.switch_messages import GroupRecord, Prepare


class RankPromise:
    """The promise to hold, until its decision is known.

    ``hold_step`` is the first step that must not be entered. It outlives the
    promise when the incarnation has ended: then only the decision of a newer
    one lets the rank go on. ``fetched`` names the maps whose weights are in
    the rank's memory.
    """

    def __init__(self) -> None:
        """Begin without map, promise or weights, as a restarted rank does."""
        self.installed = MapStamp()
        self.pending: SwitchDecision | None = None
        self.promised: SwitchDecision | None = None
        self.fetching: Prepare | None = None
        self.too_late = MapStamp()
        self.hold_step: int | None = None
        self.fetched: set[str] = set()

    @property
    def prepared(self) -> MapStamp:
        """Return the stamp held for, or the empty one."""
        return self.promised.stamp if self.promised else MapStamp()

    @property
    def newest(self) -> MapStamp:
        """Return the newest stamp that this rank has taken up."""
        fetching = self.fetching.decision.stamp if self.fetching else MapStamp()
        return max(self.installed, self.prepared, fetching)

    def holds(self, step: int) -> bool:
        """Tell whether a step must not be entered yet."""
        return self.hold_step is not None and step >= self.hold_step

    def stop_at(self, step: int) -> None:
        """Enter no step from this one on in the present incarnation."""
        known = step if self.hold_step is None else self.hold_step
        self.hold_step = min(known, step)

    def accept(self, order: Prepare) -> bool:
        """Begin to prepare; return whether weights must be fetched."""
        if order.base == self.installed and not _starts_incarnation(order):
            # A new version on the same base: the former one was aborted.
            self._release()
        self.promised = None
        self.fetching = order
        return order.decision.digest not in self.fetched

    def is_fetched(self) -> bool:
        """Tell whether the weights of the map being prepared are there."""
        return (
            self.fetching is not None
            and self.fetching.decision.digest in self.fetched
        )

    def promise(self, next_step: int) -> None:
        """Promise to hold, unless the hold step was already entered."""
        if self.fetching is None:
            return
        decision = self.fetching.decision
        self.fetching = None
        if next_step > decision.step:
            self.too_late = decision.stamp
            return
        self.promised = decision
        self.stop_at(decision.step)

    def apply_record(self, record: GroupRecord, next_step: int) -> None:
        """Act on the committed record: install, release or stop."""
        decision = record.decision
        if decision is not None and decision == self.promised:
            self._install(decision)
        elif self._accepted_version() <= record.settled:
            self._drop(record.incarnation)
        if decision is not None and _is_ahead(decision, self.installed):
            self.stop_at(next_step)

    def _install(self, decision: SwitchDecision) -> None:
        self.installed = decision.stamp
        self.pending = decision
        self.fetched &= {decision.digest}
        self._release()

    def _accepted_version(self) -> float:
        taken = self.fetching.decision if self.fetching else self.promised
        return taken.stamp.map_version if taken else float('inf')

    def _drop(self, incarnation: int) -> None:
        if self.installed.incarnation == incarnation:
            self._release()
        self.promised = None
        self.fetching = None

    def _release(self) -> None:
        self.promised = None
        self.hold_step = None


def _starts_incarnation(order: Prepare) -> bool:
    """Tell whether the order begins a new incarnation."""
    return order.decision.stamp.incarnation > order.base.incarnation


def _is_ahead(decision: SwitchDecision, installed: MapStamp) -> bool:
    return decision.stamp.incarnation > installed.incarnation
