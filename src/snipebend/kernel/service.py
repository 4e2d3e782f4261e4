"""The base class of services."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry


class Service:
    """A part of a process that owns its tasks, its sockets and its state.

    Subclasses override the methods that they need. ``Process`` calls ``start``
    in the order of registration, ``drain`` on all services concurrently and
    ``stop`` in reverse order.
    """

    def __init__(self, name: str) -> None:
        """Set the name by which other services find this one."""
        self.name = name

    async def start(self, registry: Registry) -> None:
        """Look up other services, open sockets and start tasks."""

    async def reload(self, cfg: object) -> None:
        """Apply those changed settings that need no restart."""

    async def drain(self) -> None:
        """Stop accepting work; return once the work in flight has finished."""

    async def stop(self) -> None:
        """Close sockets and stop tasks."""

    def ready(self) -> bool:
        """Return whether this service can currently do its work."""
        return True

    def dump(self) -> Mapping[str, object]:
        """Return the service's state as JSON-compatible values."""
        return {}
