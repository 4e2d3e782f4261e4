"""What the kernel asks of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from snipebend.kernel.registry import Registry


class Service:
    """A part of a process that owns its tasks, its sockets and its state.

    Subclasses override what they need. The kernel calls ``start`` in the order
    of registration, ``drain`` on all services at once and ``stop`` in the
    reverse order.
    """

    def __init__(self, name: str) -> None:
        """Keep the name under which other services find this one."""
        self.name = name

    async def start(self, registry: Registry) -> None:
        """Find peers in the registry, open sockets and start tasks."""

    async def reload(self, cfg: object) -> None:
        """Take over changed settings, as far as that is possible."""

    async def drain(self) -> None:
        """Take no new work and return when the work in flight has ended."""

    async def stop(self) -> None:
        """Close sockets and end tasks."""

    def ready(self) -> bool:
        """Tell whether this service can do its work right now."""
        return True

    def dump(self) -> Mapping[str, object]:
        """Return the service's state as JSON-compatible values."""
        return {}
