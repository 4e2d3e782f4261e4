"""Determines whether this daemon may send orders to engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from snipebend.kernel.clock import Clock
    from snipebend.transport.replicated_state import ReplicatedState


class Leadership:
    """The leader lease of the control group and the start of its term."""

    def __init__(self, store: ReplicatedState, clock: Clock) -> None:
        """Create a record without a term; ``update_term`` sets it."""
        self._store = store
        self._clock = clock
        self._term = 0
        #: Time since which no other daemon sends orders; monotonic seconds.
        self.leading_since: float = 0

    @property
    def can_order(self) -> bool:
        """Return whether the lease excludes orders of other daemons."""
        group = self._store.group
        return group is not None and group.replica.has_lease

    def update_term(self) -> None:
        """Record the start of a new term.

        The leader then waits until reports show the previous leader's orders.
        """
        group = self._store.group
        term = group.replica.status.term if group else 0
        if term != self._term:
            self._term = term
            self.leading_since = self._clock.now()
