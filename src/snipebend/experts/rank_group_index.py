"""The group that each rank reports. Performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from snipebend.experts.direct_orders import RankReport


class RankGroupIndex:
    """The group last reported by each rank of one service."""

    def __init__(self) -> None:
        """Create an empty index."""
        self._groups: dict[str, str] = {}

    @property
    def groups(self) -> frozenset[str]:
        """Return the groups with at least one rank."""
        return frozenset(self._groups.values())

    def record(self, report: RankReport) -> None:
        """Record a rank's group, which can change between reports."""
        self._groups[report.identity] = report.group

    def drop(self, identity: str) -> None:
        """Remove a rank; its group must be queried again."""
        self._groups.pop(identity, None)

    def retain(self, identities: Collection[str]) -> None:
        """Remove all ranks except the given ones."""
        for identity in self._groups.keys() - set(identities):
            self._groups.pop(identity)

    def members(self, group: str) -> frozenset[str]:
        """Return the ranks that last reported this group."""
        return frozenset(
            identity for identity, name in self._groups.items() if name == group
        )

    def is_known(self, identity: str) -> bool:
        """Return whether a rank has reported its group."""
        return identity in self._groups


def find_complete_group(
    group: str, reports: Iterable[RankReport]
) -> dict[int, RankReport] | None:
    """Return reports by rank of a complete and operational group, or None.

    Reports of an earlier epoch are late or come from ranks that no longer
    belong to the group. With duplicate rank numbers or differing group sizes
    the target of an order would be ambiguous.
    """
    reported = [one for one in reports if one.group == group and one.is_open]
    newest = max((one.epoch for one in reported), default=None)
    current = [one for one in reported if one.epoch == newest]
    by_rank = {one.rank: one for one in current}
    if not current or len(by_rank) < len(current):
        return None
    if any(one.size != len(by_rank) for one in current):
        return None
    return by_rank if by_rank.keys() == set(range(len(by_rank))) else None
