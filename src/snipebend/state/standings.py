"""What the control leader sees of services and their groups (pure)."""

from __future__ import annotations


class Standings:
    """What holds services back now; nothing of it outlives the leader."""

    def __init__(self) -> None:
        """Start without having seen any."""
        #: Grows with each change.
        self.version = 0
        self._slow: dict[str, frozenset[str]] = {}
        self._closed: frozenset[str] = frozenset()

    @property
    def slow(self) -> tuple[str, ...]:
        """Return the upstreams that hold their groups back."""
        return tuple(frozenset().union(*self._slow.values()))

    @property
    def closed(self) -> tuple[str, ...]:
        """Return the services whose groups don't work."""
        return tuple(self._closed)

    def take_slow(self, service: str, slow: frozenset[str]) -> bool:
        """Note a service's slow upstreams; tell whether that is new."""
        if slow == self._slow.get(service, frozenset()):
            return False
        self._slow[service] = slow
        self.version += 1
        return True

    def take_closed(self, service: str, *, closed: bool) -> bool:
        """Note whether a service's group works; tell whether that is new."""
        if closed == (service in self._closed):
            return False
        self._closed ^= {service}
        self.version += 1
        return True

    def forget(self) -> bool:
        """Leave it to the leader to tell; return whether anything was told."""
        if not self._slow and not self._closed:
            return False
        self._slow = {}
        self._closed = frozenset()
        self.version += 1
        return True
