"""Balancing of expert maps over engines without agents, by the leader."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.kernel.service import Service
from snipebend.balancing.meters import BalancerMeters
from snipebend.balancing.engine_sizes import expert_services
from snipebend.balancing.group_observer import GroupObserver, GroupKey
from snipebend.transport.host_service import HostService
from snipebend.balancing.leadership import Leadership
from snipebend.transport.replicated_state import ReplicatedState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from snipebend.experts.group_pass_times import GroupPassTimes
    from snipebend.experts.sizes import ExpertSizes
    from snipebend.hosts.model import HostTable
    from snipebend.kernel.registry import Registry
    from snipebend.state.roster import UpstreamRecord
    from snipebend.balancing.group_controller import (
        ControllerContext,
        GroupController,
    )
    from snipebend.balancing.group_observer import EngineLink

#: Seconds between two surveys of ranks that belong to no group yet: about a
#: quarter of the time that a group needs to re-form (0.6 s or more).
SURVEY_INTERVAL_S = 0.15

#: Seconds between two checks whether this daemon leads. A group may have been
#: on hold since its previous leader crashed; with an interval of 1 s it was
#: stopped 0.5 s longer on average.
LEADERSHIP_CHECK_INTERVAL_S = 0.05


class GroupBalancer(Service):
    """Discovers groups of engines and runs one controller task for each."""

    def __init__(
        self,
        name: str,
        link: EngineLink,
        table: Callable[[], HostTable | None],
        pass_times: GroupPassTimes,
    ) -> None:
        """Create the service; ``table`` returns the current document."""
        super().__init__(name)
        self._pass_times = pass_times
        self._link = link
        self._table = table
        #: The controller of each group, while its task runs.
        self.controllers: dict[GroupKey, GroupController] = {}
        #: Loads the controllers' dependencies; None before the start.
        self._loading: asyncio.Task[ControllerContext] | None = None

    async def start(self, registry: Registry) -> None:
        """Start loading dependencies and the balancing task."""
        self._tasks = registry.tasks
        self._store = registry.find('state', ReplicatedState)
        self._host_service = registry.find('hosts', HostService)
        self._leadership = Leadership(self._store, registry.clock)
        self._clock = registry.clock
        # Any daemon can become leader while groups are on hold or have
        # unsuitable maps, so dependencies are loaded during the first election.
        self._loading = self._start_loading()
        registry.tasks.start('balance', self._run)

    async def stop(self) -> None:
        """Close the connections to engines."""
        if self._loading is not None:
            await asyncio.wait((self._loading,))
        await self._link.close()

    def dump(self) -> Mapping[str, object]:
        """Return the state of demand tracking, by group."""
        return {
            key.group: {
                'service': key.service,
                'epoch': controller.monitor.epoch,
                'step': controller.monitor.step,
                'turning': controller.monitor.is_demand_unknown,
            }
            for key, controller in self.controllers.items()
            if controller.monitor is not None
        }

    @property
    def pause_s(self) -> float:
        """Return the seconds until the next survey."""
        return (
            SURVEY_INTERVAL_S
            if self._leadership.can_order
            else LEADERSHIP_CHECK_INTERVAL_S
        )

    async def check(self) -> list[GroupController]:
        """Survey groups if this daemon leads; return new controllers."""
        self._leadership.update_term()
        if not self._leadership.can_order:
            self._host_service.remove_groups()
            return []
        return await self._survey(await self._load_context())

    async def _load_context(self) -> ControllerContext:
        """Return the loaded dependencies; repeat the load after a failure.

        The first load runs in parallel with the start of the daemon.
        """
        assert self._loading is not None, 'start() comes first'
        await asyncio.wait((self._loading,))
        failure = self._loading.exception()
        if failure is not None:
            logger.warning('event=load_failed error={!r}', str(failure))
            self._loading = self._start_loading()
        return await self._loading

    def _start_loading(self) -> asyncio.Task[ControllerContext]:
        return asyncio.create_task(asyncio.to_thread(self._load))

    async def _survey(
        self, context: ControllerContext
    ) -> list[GroupController]:
        found: list[GroupController] = []
        for service, _ in expert_services(self._table()):
            members = self._members(service)
            for group in await context.observer.survey(service, members):
                key = GroupKey(service, group)
                if key not in self.controllers:
                    self.controllers[key] = context.create_controller(key)
                    found.append(self.controllers[key])
        return found

    def _load(self) -> ControllerContext:
        """Load the modules that only a leader needs: 23 MB, 0.3 s CPU time."""
        from snipebend.balancing.count_reader import CountReader
        from snipebend.balancing.group_controller import ControllerContext

        self._link.load()
        return ControllerContext(
            self._link,
            self._clock,
            GroupObserver(self._link, self._clock),
            CountReader(self._link, self._clock),
            self._pass_times,
            self._store,
            self._host_service,
            BalancerMeters(),
            self._leadership,
            self._members,
            self._sizes,
        )

    async def _run(self) -> None:
        while True:
            for controller in await self.check():
                self._tasks.start(
                    f'group-{controller.key.group}',
                    partial(self._run_controller, controller),
                )
            await asyncio.sleep(self.pause_s)

    async def _run_controller(self, controller: GroupController) -> None:
        """Run a controller until it ends; it is restarted after a failure."""
        await controller.run()
        self.controllers.pop(controller.key, None)

    def _members(self, service: str) -> dict[str, UpstreamRecord]:
        """Return a service's upstreams that have not ended, by identity."""
        return self._store.machine.state.roster.list_occupants(service)

    def _sizes(self, service: str) -> ExpertSizes | None:
        return dict(expert_services(self._table())).get(service)
