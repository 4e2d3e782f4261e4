"""Fakes of the services that a balancer uses in a control daemon."""

from __future__ import annotations

from types import SimpleNamespace

from snipebend.kernel.service import Service
from snipebend.transport.host_service import HostService
from tests.transport.standalone_state import StandaloneState


class LeadingStore(StandaloneState):
    """A leading replica, which can continue with another replica's state."""

    def __init__(self, local_machine=None, term=3):
        super().__init__()
        self.local_machine = local_machine or self.local_machine
        status = SimpleNamespace(term=term)
        self.group = SimpleNamespace(
            replica=SimpleNamespace(has_lease=True, status=status),
            confirmed_ago=0,
        )

    async def execute(self, command):
        return self.local_machine.state.plans.decide(command.req)


class RecordingKeeper(HostService):
    """Records the published group statuses."""

    def __init__(self):
        Service.__init__(self, 'hosts')
        self.groups = {}

    def report_group(self, standing):
        self.groups[standing.group] = standing

    def remove_group(self, group):
        self.groups.pop(group, None)

    def remove_groups(self):
        self.groups.clear()
