"""Which ranks say that they belong to which group (pure)."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from snipebend.experts.direct_orders import RankReport


class RankGroupIndex:
    """The last word of each rank of one service about its group."""

    def __init__(self) -> None:
        """Start without having heard any."""
        self._groups: dict[str, str] = {}

    @property
    def groups(self) -> frozenset[str]:
        """Return the groups that some rank belongs to."""
        return frozenset(self._groups.values())

    def note(self, report: RankReport) -> None:
        """Take over what a rank says; it may have changed its group."""
        self._groups[report.identity] = report.group

    def drop(self, identity: str) -> None:
        """Forget where a rank belonged; it must be asked again."""
        self._groups.pop(identity, None)

    def keep(self, identities: Collection[str]) -> None:
        """Forget all ranks but these."""
        for identity in self._groups.keys() - set(identities):
            self._groups.pop(identity)

    def members(self, group: str) -> frozenset[str]:
        """Return the ranks whose last word was this group."""
        return frozenset(
            identity for identity, name in self._groups.items() if name == group
        )

    def is_known(self, identity: str) -> bool:
        """Tell whether a rank has said where it belongs."""
        return identity in self._groups


def find_complete_group(
    group: str, reports: Iterable[RankReport]
) -> dict[int, RankReport] | None:
    """Return a group's reports by rank; nothing unless it is whole and works.

    Reports of an earlier epoch are late, or of ranks that were left out. Two
    ranks under one number, or sizes that differ, say nothing that an order
    could go by.
    """
    said = [one for one in reports if one.group == group and one.is_open]
    newest = max((one.epoch for one in said), default=None)
    current = [one for one in said if one.epoch == newest]
    by_rank = {one.rank: one for one in current}
    if not current or len(by_rank) < len(current):
        return None
    if any(one.size != len(by_rank) for one in current):
        return None
    return by_rank if by_rank.keys() == set(range(len(by_rank))) else None
