"""Fakes of the services that a balancer uses in a control daemon."""

from __future__ import annotations

from types import SimpleNamespace

from snipebend.kernel.service import Service
from snipebend.transport.host_keeper import HostKeeper
from tests.transport.own_state import OwnState


class LeadingStore(OwnState):
    """A leading replica, which can continue with another replica's state."""

    def __init__(self, kept=None, term=3):
        super().__init__()
        self.kept = kept or self.kept
        status = SimpleNamespace(term=term)
        self.group = SimpleNamespace(
            replica=SimpleNamespace(has_lease=True, status=status),
            confirmed_ago=0,
        )

    async def execute(self, command):
        return self.kept.state.plans.decide(command.req)


class RecordingKeeper(HostKeeper):
    """Records the published group statuses."""

    def __init__(self):
        Service.__init__(self, 'hosts')
        self.groups = {}

    def tell_group(self, standing):
        self.groups[standing.group] = standing

    def forget_group(self, group):
        self.groups.pop(group, None)

    def forget_groups(self):
        self.groups.clear()
