"""Builds configuration messages for watchers; performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from snipebend.fleet.delta import FleetDelta, checksum, delta_between
from snipebend.fleet.parsing import parse_fleet
from snipebend.state.messages import Configuration

if TYPE_CHECKING:
    from snipebend.fleet.model import Fleet
    from snipebend.state.configuration import ConfigurationState

Key = TypeVar('Key')
Value = TypeVar('Value')

#: Limit on the parsed fleets, and on the messages, that are cached.
_MAX_CACHED = 8


class ConfigurationFeed:
    """Builds and caches messages; watchers with the same base share them."""

    def __init__(self) -> None:
        """Create a feed with empty caches."""
        self._fleets: dict[int, Fleet] = {}
        self._messages: dict[tuple[int, int], Configuration] = {}

    def next_after(
        self, state: ConfigurationState, base: int | None
    ) -> Configuration:
        """Return the message for a watcher at ``base``.

        The message has the complete text if ``base`` is ``None`` or no longer
        in the history. A watcher that is ahead of this state is sent only this
        state's revision.
        """
        if base is not None and base >= state.revision:
            return Configuration(state.revision)
        key = (base or 0, state.revision)
        cached = self._messages.get(key)
        if cached is None:
            cached = self._build_message(state, base)
            _add_to_cache(self._messages, key, cached)
        return cached

    def _build_message(
        self, state: ConfigurationState, base: int | None
    ) -> Configuration:
        fleet = self._fleet(state, state.revision)
        if fleet is None:
            return Configuration(state.revision)
        old = self._fleet(state, base) if base else None
        if old is None or base is None:
            return Configuration(
                state.revision, state.text, checksum=checksum(fleet)
            )
        delta: FleetDelta = delta_between(old, fleet)
        return Configuration(
            state.revision, base=base, delta=delta, checksum=checksum(fleet)
        )

    def _fleet(self, state: ConfigurationState, revision: int) -> Fleet | None:
        cached = self._fleets.get(revision)
        if cached is not None:
            return cached
        parsed = parse_fleet(state.history.get(revision, ''), 'history')
        if parsed.is_err():
            return None
        _add_to_cache(self._fleets, revision, parsed.unwrap())
        return parsed.unwrap()


def _add_to_cache(cache: dict[Key, Value], key: Key, value: Value) -> None:
    cache[key] = value
    if len(cache) > _MAX_CACHED:
        cache.pop(next(iter(cache)))
