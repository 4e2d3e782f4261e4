"""What ``snipebend status`` tells of the groups' expert maps."""

from __future__ import annotations

import asyncio

from snipebend.console.connection import call_each
from snipebend.console.output import print_line
from snipebend.orders.expert_load import GroupStatus, GroupStatusQuery
from snipebend.transport.rank_methods import GROUP_STATUS


def ask_groups(addresses: list[str]) -> tuple[GroupStatus, ...]:
    """Return the leader's view; only the leader drives expert maps."""
    views = asyncio.run(
        call_each(addresses, GROUP_STATUS, GroupStatusQuery()),
    )
    leading = [view for view in views.values() if view and view.leads]
    return leading[-1].groups if leading else ()


def print_groups(groups: tuple[GroupStatus, ...]) -> None:
    """Print a line a group."""
    for group in sorted(groups, key=lambda one: one.group):
        print_line(
            f'group {group.group} phase={group.phase} '
            + f'incarnation={group.incarnation} '
            + f'map_version={group.map_version} members={len(group.members)} '
            + f'skew={group.skew:.3f} moved_bytes={group.moved_bytes} '
            + f'last={group.last_decision} reason={group.reason!r}',
        )
