"""What the expert service looks at: this replica's fleet and directory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.fleet.parsing import parse_fleet

if TYPE_CHECKING:
    from snipebend.fleet.model import Fleet
    from snipebend.membership.messages import Announcement
    from snipebend.transport.directory_api import DirectoryKeeper
    from snipebend.transport.replicated_state import ReplicatedState


class ReplicaView:
    """Parses the configuration once for each revision."""

    def __init__(
        self,
        state: ReplicatedState,
        directory: DirectoryKeeper,
    ) -> None:
        """Keep where the state and the announcements are."""
        self._state = state
        self._directory = directory
        self._revision = 0
        self._fleet: Fleet | None = None

    @property
    def leads(self) -> bool:
        """Tell whether this daemon leads, as far as it knows."""
        group = self._state.group
        return group is not None and group.replica.leads

    def fleet(self) -> Fleet | None:
        """Return the fleet in force, or None before the first one."""
        configuration = self._state.machine.state.configuration
        if configuration.revision != self._revision:
            parsed = parse_fleet(configuration.text, 'state')
            self._fleet = parsed.unwrap() if parsed.is_ok() else None
            self._revision = configuration.revision
        return self._fleet

    def upstreams(self) -> tuple[Announcement, ...]:
        """Return the upstreams whose announcements are fresh."""
        return self._directory.fresh()
