"""Computes the lines of docs/CAPACITY.md on maps, operators and failures."""

from __future__ import annotations

from bench import capacity_target as target
from bench.capacity_line import (
    BUILT,
    FAILURES,
    MAPS,
    MEBI,
    MICRO,
    MINUTE_S,
    OPERATOR,
    PLANNED,
    Line,
    Slopes,
)


def compute_map_lines(slopes: Slopes) -> list[Line]:
    """Return the lines on expert maps."""
    groups = target.ACCELERATORS / target.RANKS
    return [
        Line(
            MAPS,
            'one decision',
            slopes['map_decision_s'],
            's',
            None,
            'moves that gain most a byte, vectorised over layers',
            BUILT,
            f'256 ranks, 256 experts, 60 layers; {groups:.0f} groups in all, '
            f'{groups / target.REGIONS:.0f} a region',
        ),
        Line(
            MAPS,
            'memory of a decision',
            slopes['map_decision_mib'],
            'MiB',
            None,
            'one group at a time',
            BUILT,
            'peak while deciding',
        ),
        Line(
            MAPS,
            'processor time, deciding every minute',
            slopes['map_decision_s'] / MINUTE_S * 100,
            '% of a core a group',
            None,
            'by the control leader today; a planner a group is planned',
            PLANNED,
            f'{groups / target.REGIONS:.0f} groups a region add up to '
            f'{groups / target.REGIONS * slopes["map_decision_s"] / 60:.0%} '
            'of a core',
        ),
        Line(
            MAPS,
            'skew over the oracle',
            slopes['map_skew_minute'],
            'times',
            1.05,
            'the same',
            BUILT,
            'a run of 20 minutes at 256 ranks, deciding every minute',
        ),
        Line(
            MAPS,
            'a map sent to every rank',
            slopes['map_bytes'] * target.RANKS / MEBI,
            'MiB a switch',
            None,
            'by the leader to each rank; a tree is planned',
            PLANNED,
            'an encoded map times 256 ranks',
        ),
    ]


def compute_operator_lines(slopes: Slopes) -> list[Line]:
    """Return the lines on an operator's fleet file."""
    text_mib = target.WORKSPACES * slopes['text_bytes_per_workspace'] / MEBI
    parse_s = target.WORKSPACES * slopes['parse_us_per_workspace'] / MICRO
    return [
        Line(
            OPERATOR,
            'fleet file',
            text_mib,
            'MiB',
            1.0,
            'one file, applied as a whole; files a scope are planned',
            'built, near its limit',
            f'{target.WORKSPACES:,} workspaces, before other sections',
        ),
        Line(
            OPERATOR,
            'check of a file',
            parse_s,
            's',
            None,
            'the same check at the command line and at each voter',
            BUILT,
            'parse and check of the whole file',
        ),
    ]


def compute_failure_lines(slopes: Slopes) -> list[Line]:
    """Return the lines on failures and restarts."""
    region = target.REPLICAS_PER_REGION
    per_center = region / 3
    followers = (target.NODES_PER_REGION + region) / target.REGION_CONTROL_VMS
    full_mib = target.WORKSPACES * slopes['text_bytes_per_workspace'] / MEBI
    rejoin_s = followers * slopes['announce_us'] / MICRO
    events = (target.FAILED_PER_DAY + target.RESTARTED_PER_DAY) / target.DAY_S
    return [
        Line(
            FAILURES,
            'an ordinary day',
            events * MINUTE_S,
            'events a minute',
            None,
            'announcement leases; leaving is announced',
            BUILT,
            f'{target.FAILED_PER_DAY} failures and '
            f'{target.RESTARTED_PER_DAY:,} restarts',
        ),
        Line(
            FAILURES,
            'a data centre lost: upstreams gone',
            per_center,
            'upstreams',
            None,
            'one difference names all that went; the quorum holds in two',
            BUILT,
            'a third of a region',
        ),
        Line(
            FAILURES,
            'a control VM restarts: followers return',
            rejoin_s,
            's',
            None,
            'each returns with its revision and gets deltas only',
            BUILT,
            f'{followers:,.0f} followers; the full text of {full_mib:.2f} MiB '
            'only where the history is too short',
        ),
    ]
