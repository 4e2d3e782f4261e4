"""This control daemon's leadership, fleet and directory for expert maps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from snipebend.fleet.parsing import parse_fleet

if TYPE_CHECKING:
    from snipebend.fleet.model import Fleet
    from snipebend.membership.messages import Announcement
    from snipebend.transport.directory_api import DirectoryApi
    from snipebend.transport.replicated_state import ReplicatedState


class ReplicaView:
    """Gives the expert service access to the state of this daemon.

    The configuration is parsed once per revision.
    """

    def __init__(
        self,
        state: ReplicatedState,
        directory: DirectoryApi,
    ) -> None:
        """Store the replicated state and the directory."""
        self._state = state
        self._directory = directory
        self._revision = 0
        self._fleet: Fleet | None = None

    @property
    def leads(self) -> bool:
        """Return whether this daemon is the leader, as far as it knows."""
        group = self._state.group
        return group is not None and group.replica.leads

    def fleet(self) -> Fleet | None:
        """Return the fleet in force, or None if there is none yet."""
        configuration = self._state.machine.state.configuration
        if configuration.revision != self._revision:
            parsed = parse_fleet(configuration.text, 'state')
            self._fleet = parsed.unwrap() if parsed.is_ok() else None
            self._revision = configuration.revision
        return self._fleet

    def upstreams(self) -> tuple[Announcement, ...]:
        """Return the upstreams whose announcements have not expired."""
        return self._directory.fresh()
