"""Status of the groups' expert maps for ``snipebend status``."""

from __future__ import annotations

import asyncio

from snipebend.console.connection import call_all
from snipebend.console.output import print_line
from snipebend.orders.expert_load import GroupStatus, GroupStatusQuery
from snipebend.transport.rank_methods import GROUP_STATUS


def fetch_group_statuses(addresses: list[str]) -> tuple[GroupStatus, ...]:
    """Return the leader's statuses; only the leader manages expert maps.

    If several daemons claim to lead, the last one of the addresses counts.
    """
    replies = asyncio.run(
        call_all(addresses, GROUP_STATUS, GroupStatusQuery()),
    )
    leaders = [reply for reply in replies.values() if reply and reply.leads]
    return leaders[-1].groups if leaders else ()


def print_groups(groups: tuple[GroupStatus, ...]) -> None:
    """Print one line per group."""
    for group in sorted(groups, key=lambda status: status.group):
        print_line(
            f'group {group.group} phase={group.phase} '
            + f'incarnation={group.incarnation} '
            + f'map_version={group.map_version} members={len(group.members)} '
            + f'skew={group.skew:.3f} moved_bytes={group.moved_bytes} '
            + f'last={group.last_decision} reason={group.reason!r}',
        )
