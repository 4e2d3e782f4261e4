"""Computes the lines of docs/CAPACITY.md on the control daemons."""

from __future__ import annotations

from bench import capacity_target as target
from bench.capacity_line import (
    BUILT,
    CONTROL,
    KIBI,
    MEBI,
    MICRO,
    MINUTE_S,
    PLANNED,
    Line,
    Slopes,
)


def compute_control_lines(slopes: Slopes) -> list[Line]:
    """Return the lines on the control daemons."""
    voters = target.REGION_CONTROL_VMS / target.GROUPS_PER_REGION
    announced = (
        target.REPLICAS_PER_REGION
        / target.GROUPS_PER_REGION
        / target.ANNOUNCE_INTERVAL_S
    )
    announced_us = announced * slopes['announce_us']
    watchers = target.NODES_PER_REGION / target.REGION_CONTROL_VMS
    watched_us = (
        watchers * target.WATCHED * slopes['loads_make_us_per_upstream']
    )
    followers = (
        target.NODES_PER_REGION + target.REPLICAS_PER_REGION
    ) / target.REGION_CONTROL_VMS
    pushed_us = target.CHANGES_PER_S * followers * slopes['announce_us']
    parsed_us = (
        target.CHANGES_PER_S
        * target.WORKSPACES
        * slopes['parse_us_per_workspace']
    )
    keyed = target.REQUESTS_PER_S * target.KEYED_SHARE / target.REGIONS
    commands = keyed * 2 / target.GROUPS_PER_REGION
    held = keyed / target.GROUPS_PER_REGION * target.CLAIM_LIFETIME_S
    return [
        Line(
            CONTROL,
            'VMs set aside',
            target.REGION_CONTROL_VMS * target.REGIONS
            + target.GLOBAL_CONTROL_VMS,
            'VMs',
            target.CONTROL_VMS,
            f'{voters:g} voters a group in three data centres, a global group',
            'one group built; several groups planned',
            'our assumptions above',
        ),
        Line(
            CONTROL,
            'idle',
            slopes['control_idle_percent'],
            '% of a core',
            None,
            'a beat every 0.25 s',
            BUILT,
            f'a leader; {slopes["consensus_follower_bytes"]:.0f} B/s a '
            'follower',
        ),
        Line(
            CONTROL,
            'announcements',
            announced_us / MICRO * 100,
            '% of a core',
            None,
            'one open call an agent',
            BUILT,
            f'{announced:,.0f} a second at each voter',
        ),
        Line(
            CONTROL,
            'differences of loads',
            watched_us / MICRO * 100,
            '% of a core',
            None,
            'a difference a second a watcher',
            BUILT,
            f'{watchers:,.0f} watchers of {target.WATCHED} upstreams',
        ),
        Line(
            CONTROL,
            'configuration pushed',
            pushed_us / MICRO * 100,
            '% of a core',
            None,
            'one open call a follower; a fan-out tree is not needed yet',
            BUILT,
            f'{followers:,.0f} followers, {target.CHANGES_PER_S:.2f} changes/s',
        ),
        Line(
            CONTROL,
            'configuration parsed',
            parsed_us / MICRO * 100,
            '% of a core',
            None,
            'files a scope, so that a change parses its own scope only',
            PLANNED,
            'today each voter parses the whole file at each change',
        ),
        Line(
            CONTROL,
            'commands for keys',
            commands * slopes['command_leader_us'] / MICRO * 100,
            '% of a core',
            None,
            'claims hashed over the groups of a region, batched in the log',
            'batching built; hashing over groups planned',
            f'{commands:,.0f} a second at each leader',
        ),
        Line(
            CONTROL,
            'memory, with the claims held',
            slopes['control_rss_mib']
            + held * slopes['claim_held_bytes'] / MEBI,
            'MiB',
            None,
            'forgotten at their expiry; answers within a byte bound',
            BUILT,
            f'{held:,.0f} claims a group, without stored answers',
        ),
        Line(
            CONTROL,
            'configuration written to the log',
            target.CHANGES_PER_S
            * target.WORKSPACES
            * slopes['text_bytes_per_workspace']
            / KIBI,
            'KiB/s',
            None,
            'snapshots bound the log; files a scope shorten the entries',
            'snapshots built; files a scope planned',
            'each entry holds the whole file',
        ),
        Line(
            CONTROL,
            'sum at a leader',
            _leader_cpu_percent(
                slopes,
                announced_us + watched_us + pushed_us + parsed_us,
                commands,
            ),
            '% of a core',
            100,
            'the groups of a region share the work over six VMs',
            PLANNED,
            'all lines above and the decisions on expert maps of one region, '
            'every minute, on one VM',
        ),
        Line(
            CONTROL,
            'change in force',
            slopes['in_force_s'],
            's',
            target.BUDGET_IN_FORCE_S,
            'pushed on commit; a leader change adds an election',
            BUILT,
            "measured at today's size, 3 members, 99 in 100",
        ),
    ]


def _leader_cpu_percent(
    slopes: Slopes, pushed_us: float, commands: float
) -> float:
    """Return the share of a core in percent that a region's leader needs."""
    groups = target.ACCELERATORS / target.RANKS / target.REGIONS
    busy_us = pushed_us + commands * slopes['command_leader_us']
    maps = groups * slopes['map_decision_s'] / MINUTE_S
    share = busy_us / MICRO + maps
    return share * 100 + slopes['control_idle_percent']
