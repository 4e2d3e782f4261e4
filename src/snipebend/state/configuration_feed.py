"""What a watcher is sent next, by what it has already (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from snipebend.fleet.delta import FleetDelta, checksum, delta_between
from snipebend.fleet.parsing import parse_fleet
from snipebend.state.messages import Configuration

if TYPE_CHECKING:
    from snipebend.fleet.model import Fleet
    from snipebend.state.configuration import ConfigurationState

Key = TypeVar('Key')
Made = TypeVar('Made')

#: Fleets and deltas that are kept for the next watcher.
_MAX_KEPT = 8


class ConfigurationFeed:
    """Makes messages from the state; the same for all watchers of a base."""

    def __init__(self) -> None:
        """Start with nothing kept."""
        self._fleets: dict[int, Fleet] = {}
        self._messages: dict[tuple[int, int], Configuration] = {}

    def next_after(
        self, state: ConfigurationState, base: int | None
    ) -> Configuration:
        """Return the message for a watcher at ``base``; ``None``: whole text.

        A base that is no longer in the history gets the whole text, too. A
        watcher that is ahead of this state is told this state's revision.
        """
        if base is not None and base >= state.revision:
            return Configuration(state.revision)
        key = (base or 0, state.revision)
        known = self._messages.get(key)
        if known is None:
            known = self._compose(state, base)
            _keep(self._messages, key, known)
        return known

    def _compose(
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
        known = self._fleets.get(revision)
        if known is not None:
            return known
        parsed = parse_fleet(state.history.get(revision, ''), 'history')
        if parsed.is_err():
            return None
        _keep(self._fleets, revision, parsed.unwrap())
        return parsed.unwrap()


def _keep(kept: dict[Key, Made], key: Key, made: Made) -> None:
    kept[key] = made
    if len(kept) > _MAX_KEPT:
        kept.pop(next(iter(kept)))
