"""An entry's knowledge of the evacuated data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from snipebend.state.host_updates import EvacuationNews


class EvacuationTracker:
    """Keeps the latest news of any control daemon; it never goes back.

    What was known last stays in force while no daemon is heard.
    """

    def __init__(self) -> None:
        """Begin without evacuations."""
        #: Names of the data centres whose upstreams get nothing.
        self.data_centers: frozenset[str] = frozenset()
        #: Called with each data centre whose evacuation has ended.
        self.on_end: Callable[[str], None] = _ignore_end
        self._revision = 0

    def apply(self, news: EvacuationNews, peer: str) -> None:
        """Apply news that the control daemon ``peer`` sent."""
        if news.revision <= self._revision:
            return
        self._revision = news.revision
        before = self.data_centers
        self.data_centers = frozenset(news.data_centers)
        for name in sorted(before ^ self.data_centers):
            logger.info(
                'event=evacuation_in_force data_center={} evacuated={} '
                + 'revision={} peer={}',
                name,
                name in self.data_centers,
                news.revision,
                peer,
            )
        for ended in sorted(before - self.data_centers):
            self.on_end(ended)

    def dump(self) -> Mapping[str, object]:
        """Return the evacuated data centres and the revision."""
        return {
            'data_centers': sorted(self.data_centers),
            'revision': self._revision,
        }


def _ignore_end(data_center: str) -> None:
    """Do nothing; used until a callback is set."""
