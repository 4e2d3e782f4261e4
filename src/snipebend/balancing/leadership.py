"""Whether this daemon gives orders to engines now."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from snipebend.kernel.clock import Clock
    from snipebend.transport.replicated_state import ReplicatedState


class Leadership:
    """The lease of the control group's leader, and since when it holds."""

    def __init__(self, store: ReplicatedState, clock: Clock) -> None:
        """Start before the first look."""
        self._store = store
        self._clock = clock
        self._term = 0
        #: Since when no other daemon gives orders; monotonic seconds.
        self.leading_since: float = 0

    @property
    def can_order(self) -> bool:
        """Tell whether nobody else can give orders."""
        group = self._store.group
        return group is not None and group.replica.has_lease

    def update_term(self) -> None:
        """Note when a term begins: orders of the last leader must show."""
        group = self._store.group
        term = group.replica.status.term if group else 0
        if term != self._term:
            self._term = term
            self.leading_since = self._clock.now()
