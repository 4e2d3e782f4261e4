"""The registry through which services of a process find each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from snipebend.errors.hierarchy import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from snipebend.kernel.clock import Clock
    from snipebend.kernel.service import Service
    from snipebend.kernel.tasks import TaskSupervisor

AnyService = TypeVar('AnyService', bound='Service')


class Registry:
    """Services by name, in the order in which they were registered."""

    def __init__(self, clock: Clock, tasks: TaskSupervisor) -> None:
        """Provide the process's clock and task supervisor to all services."""
        self.clock = clock
        self.tasks = tasks
        self._services: dict[str, Service] = {}

    def __iter__(self) -> Iterator[Service]:
        """Iterate in the order of registration."""
        return iter(tuple(self._services.values()))

    def register(self, service: Service) -> None:
        """Add a service.

        Raises:
            InvalidInputError: if the name is already registered.
        """
        if service.name in self._services:
            raise InvalidInputError(
                f'service {service.name!r} is already registered',
                step='register',
            )
        self._services[service.name] = service

    def find(self, name: str, kind: type[AnyService]) -> AnyService:
        """Return the service with this name and type.

        Raises:
            InvalidInputError: if there is none.
        """
        service = self._services.get(name)
        if isinstance(service, kind):
            return service
        raise InvalidInputError(
            f'no service {name!r} of type {kind.__name__}',
            step='find',
        )
