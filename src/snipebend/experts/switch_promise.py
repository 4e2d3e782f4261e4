"""A rank's side of a map switch: its promise, installed map and weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.experts.switch_messages import MapStamp, SwitchDecision

if TYPE_CHECKING:
    from snipebend.experts.switch_messages import GroupRecord, Prepare


class RankPromise:
    """A rank's promise to hold before a step until the decision is known.

    ``hold_step`` is the first step that must not be entered. It remains set
    when the incarnation of the promise has ended; then only the decision of a
    newer incarnation lets the rank continue. ``fetched`` contains the digests
    of the maps whose weights are in the rank's memory.
    """

    def __init__(self) -> None:
        """Create the state of a restarted rank: no map, promise or weights."""
        self.installed = MapStamp()
        self.pending: SwitchDecision | None = None
        self.promised: SwitchDecision | None = None
        self.fetching: Prepare | None = None
        self.too_late = MapStamp()
        self.hold_step: int | None = None
        self.fetched: set[str] = set()

    @property
    def prepared(self) -> MapStamp:
        """Return the promised stamp, or the empty one."""
        return self.promised.stamp if self.promised else MapStamp()

    @property
    def newest(self) -> MapStamp:
        """Return the newest stamp that this rank has accepted."""
        fetching = self.fetching.decision.stamp if self.fetching else MapStamp()
        return max(self.installed, self.prepared, fetching)

    def must_hold(self, step: int) -> bool:
        """Return whether a step must not be entered yet."""
        return self.hold_step is not None and step >= self.hold_step

    def hold_before(self, step: int) -> None:
        """Hold before this step, or an earlier one, in this incarnation."""
        known = step if self.hold_step is None else self.hold_step
        self.hold_step = min(known, step)

    def accept(self, order: Prepare) -> bool:
        """Start to prepare a map; return whether weights must be fetched."""
        if order.base == self.installed and not _starts_incarnation(order):
            # A new version on the same base implies that the previous one was
            # aborted.
            self._release()
        self.promised = None
        self.fetching = order
        return order.decision.digest not in self.fetched

    def is_fetched(self) -> bool:
        """Return whether the weights of the map being prepared are fetched."""
        return (
            self.fetching is not None
            and self.fetching.decision.digest in self.fetched
        )

    def promise(self, next_step: int) -> None:
        """Promise to hold, unless the hold step has already been entered."""
        if self.fetching is None:
            return
        decision = self.fetching.decision
        self.fetching = None
        if next_step > decision.step:
            self.too_late = decision.stamp
            return
        self.promised = decision
        self.hold_before(decision.step)

    def apply_record(self, record: GroupRecord, next_step: int) -> None:
        """Install the map, release the hold or stop, as the record requires."""
        decision = record.decision
        if decision is not None and decision == self.promised:
            self._install(decision)
        elif self._accepted_version() <= record.settled:
            self._drop(record.incarnation)
        if decision is not None and _is_ahead(decision, self.installed):
            self.hold_before(next_step)

    def _install(self, decision: SwitchDecision) -> None:
        self.installed = decision.stamp
        self.pending = decision
        self.fetched &= {decision.digest}
        self._release()

    def _accepted_version(self) -> float:
        accepted = self.fetching.decision if self.fetching else self.promised
        return accepted.stamp.map_version if accepted else float('inf')

    def _drop(self, incarnation: int) -> None:
        if self.installed.incarnation == incarnation:
            self._release()
        self.promised = None
        self.fetching = None

    def _release(self) -> None:
        self.promised = None
        self.hold_step = None


def _starts_incarnation(order: Prepare) -> bool:
    """Return whether the order starts a new incarnation."""
    return order.decision.stamp.incarnation > order.base.incarnation


def _is_ahead(decision: SwitchDecision, installed: MapStamp) -> bool:
    return decision.stamp.incarnation > installed.incarnation
