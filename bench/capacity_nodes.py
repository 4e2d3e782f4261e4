"""Computes the lines of docs/CAPACITY.md on entries and agents."""

from __future__ import annotations

from bench import capacity_target as target
from bench.capacity_line import (
    AGENT,
    BUILT,
    ENTRY,
    MEBI,
    MICRO,
    MILLI,
    PLANNED,
    Line,
    Slopes,
)


def compute_entry_lines(slopes: Slopes) -> list[Line]:
    """Return the lines on entries."""
    loads = target.WATCHED * slopes['loads_bytes_per_upstream']
    changes = target.CHANGES_PER_S * slopes['delta_bytes']
    idle = slopes['entry_idle_bytes']
    keyed_per_s = target.REQUESTS_PER_S / target.NODES * target.KEYED_SHARE
    claims = keyed_per_s * slopes['claim_and_settle_bytes']
    restarts = (
        (target.RESTARTED_PER_DAY + target.FAILED_PER_DAY)
        / target.DAY_S
        * 2
        * target.WATCHED
        / target.REPLICAS
        * slopes['join_bytes_per_upstream']
    )
    apply_us = (
        slopes['entry_idle_percent'] / 100 * MICRO
        + target.WATCHED * slopes['loads_apply_us_per_upstream']
        + target.WATCHED * slopes['reports_us_per_upstream']
        + target.CHANGES_PER_S
        * target.WORKSPACES
        * slopes['change_us_per_workspace']
        + keyed_per_s * 2 * slopes['call_us']
    )
    requests = target.REQUESTS_PER_S / target.NODES
    chunks = target.TOKENS_PER_S / target.NODES
    data_us = (
        requests * slopes['entry_request_us']
        + chunks * slopes['entry_chunk_us']
    )
    memory = (
        slopes['entry_rss_mib']
        + (
            slopes['router_base_bytes']
            + target.WORKSPACES * slopes['fleet_bytes_per_workspace']
            + target.WATCHED * slopes['copy_bytes_per_upstream']
            + target.WORKSPACES * slopes['router_bytes_per_workspace']
            + target.WATCHED * slopes['router_bytes_per_upstream']
        )
        / MEBI
    )
    return [
        Line(
            ENTRY,
            'control bytes',
            idle + loads + changes + claims + restarts,
            'B/s',
            target.BUDGET_BYTES_PER_S,
            'a watched subset, loads as differences, configuration as deltas',
            'built',
            f'idle {idle:,.0f} + loads {loads:,.0f} + changes {changes:,.0f} + '
            f'claims {claims:,.0f} + joins {restarts:.2f}',
        ),
        Line(
            ENTRY,
            'control bytes, worst second',
            idle + slopes['loads_worst_bytes'] + changes + claims,
            'B/s',
            target.BUDGET_BYTES_PER_S,
            'the same; loads told less often when many move is planned',
            PLANNED,
            'as above, but every watched load moves by over a tenth at once',
        ),
        Line(
            ENTRY,
            'control processor time',
            apply_us / MICRO * 100,
            '% of a core',
            target.BUDGET_CORE * 100,
            'deltas applied to the parsed fleet, a checksum of the records',
            BUILT,
            'an idle entry + differences of loads + reports taken in + deltas '
            '+ claims',
        ),
        Line(
            ENTRY,
            'memory',
            memory,
            'MiB',
            target.BUDGET_MIB,
            'one parsed fleet, bounded watch, bounded prefix index',
            BUILT,
            'an idle entry + fleet + directory + router, by their slopes; '
            'streams in flight come on top',
        ),
        Line(
            ENTRY,
            'data path',
            data_us / MICRO * 100,
            '% of a core',
            None,
            'one task a request, frames passed on without parsing',
            BUILT,
            f'{requests:.1f} requests/s and {chunks:,.0f} chunks/s a node',
        ),
        Line(
            ENTRY,
            'one routing decision',
            slopes['decision_us'],
            'us',
            None,
            'score over a sample of the watched candidates',
            BUILT,
            'does not grow from 16 to 1,000 upstreams',
        ),
        Line(
            ENTRY,
            'added to the first token',
            slopes['added_latency_ms'],
            'ms',
            target.BUDGET_FIRST_TOKEN_MS,
            'entry and agent on the path; the engine needs the rest',
            BUILT,
            '99 in 100 of small calls on a machine with more work than cores',
        ),
        Line(
            ENTRY,
            'added between tokens',
            (slopes['entry_chunk_us'] + slopes['agent_chunk_us']) / MILLI,
            'ms',
            target.BUDGET_BETWEEN_TOKENS_MS,
            'frames passed on as they come',
            BUILT,
            'processor time of both hops; queueing on a busy core and the '
            'network between data centres come on top',
        ),
    ]


def compute_agent_lines(slopes: Slopes) -> list[Line]:
    """Return the lines on agents."""
    announced = 3 * slopes['announce_bytes'] / target.ANNOUNCE_INTERVAL_S
    changes = target.CHANGES_PER_S * slopes['delta_bytes']
    control_us = (
        slopes['agent_idle_percent'] / 100 * MICRO
        + target.CHANGES_PER_S
        * target.WORKSPACES
        * slopes['change_us_per_workspace']
    )
    requests = target.REQUESTS_PER_S / target.REPLICAS
    chunks = target.TOKENS_PER_S / target.REPLICAS
    data_us = (
        requests * slopes['agent_request_us']
        + chunks * slopes['agent_chunk_us']
    )
    return [
        Line(
            AGENT,
            'control bytes',
            announced + changes,
            'B/s',
            target.BUDGET_BYTES_PER_S,
            'announcements over one open call a voter',
            BUILT,
            f'announcements {announced:,.0f} + changes {changes:,.0f}',
        ),
        Line(
            AGENT,
            'control processor time',
            control_us / MICRO * 100,
            '% of a core',
            target.BUDGET_CORE * 100,
            'the same',
            BUILT,
            'an idle agent that announces 10 times a second, far more often '
            'than assumed, + deltas',
        ),
        Line(
            AGENT,
            'memory',
            slopes['agent_rss_mib']
            + target.WORKSPACES * slopes['fleet_bytes_per_workspace'] / MEBI,
            'MiB',
            target.BUDGET_MIB,
            'one parsed fleet; tombstones end with their deadlines',
            BUILT,
            'an idle agent and the fleet',
        ),
        Line(
            AGENT,
            'data path',
            data_us / MICRO * 100,
            '% of a core',
            None,
            'one task a request',
            BUILT,
            f'{requests:.2f} requests/s and {chunks:,.0f} chunks/s an upstream',
        ),
    ]
