"""The lines of docs/CAPACITY.md: arithmetic over slopes and target."""

from __future__ import annotations

from typing import NamedTuple

from bench import capacity_target as target

Slopes = dict[str, float]

ENTRY = 'Entry'
AGENT = 'Agent'
CONTROL = 'Control'
MAPS = 'Expert maps'
OPERATOR = 'Operator'
FAILURES = 'Failures'

_MICRO = 1e6
_MILLI = 1000
_KIBI = 1024
_MEBI = 1024 * 1024
_MINUTE_S = 60
_BUILT = 'built'
_PLANNED = 'planned'


class Line(NamedTuple):
    """One row of the page; no budget means that none was given."""

    role: str
    name: str
    value: float
    unit: str
    budget: float | None
    mechanism: str
    state: str
    working: str

    def row(self) -> str:
        """Render as a row of the role's table."""
        if self.budget is None:
            budget = '-'
            verdict = '-'
        else:
            budget = f'{self.budget:g} {self.unit}'
            verdict = 'met' if self.value <= self.budget else '**missed**'
        shown = f'{_show(self.value)} {self.unit}'
        return (
            f'| {self.name} | {shown} | {budget} | {verdict} '
            f'| {self.mechanism} | {self.state} |'
        )


def _show(number: float) -> str:
    """Render four digits, never as a power of ten."""
    return f'{number:,.0f}' if number >= 100 else f'{number:.4g}'


def lines_of(slopes: Slopes) -> list[Line]:
    """Work out all lines."""
    return [
        *_entry(slopes),
        *_agent(slopes),
        *_control(slopes),
        *_maps(slopes),
        *_operator(slopes),
        *_failures(slopes),
    ]


def _entry(slopes: Slopes) -> list[Line]:
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
        slopes['entry_idle_percent'] / 100 * _MICRO
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
        / _MEBI
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
            _PLANNED,
            'as above, but every watched load moves by over a tenth at once',
        ),
        Line(
            ENTRY,
            'control processor time',
            apply_us / _MICRO * 100,
            '% of a core',
            target.BUDGET_CORE * 100,
            'deltas applied to the parsed fleet, a checksum of the records',
            _BUILT,
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
            _BUILT,
            'an idle entry + fleet + directory + router, by their slopes; '
            'streams in flight come on top',
        ),
        Line(
            ENTRY,
            'data path',
            data_us / _MICRO * 100,
            '% of a core',
            None,
            'one task a request, frames passed on without parsing',
            _BUILT,
            f'{requests:.1f} requests/s and {chunks:,.0f} chunks/s a node',
        ),
        Line(
            ENTRY,
            'one routing decision',
            slopes['decision_us'],
            'us',
            None,
            'score over a sample of the watched candidates',
            _BUILT,
            'does not grow from 16 to 1,000 upstreams',
        ),
        Line(
            ENTRY,
            'added to the first token',
            slopes['added_latency_ms'],
            'ms',
            target.BUDGET_FIRST_TOKEN_MS,
            'entry and agent on the path; the engine needs the rest',
            _BUILT,
            '99 in 100 of small calls on a machine with more work than cores',
        ),
        Line(
            ENTRY,
            'added between tokens',
            (slopes['entry_chunk_us'] + slopes['agent_chunk_us']) / _MILLI,
            'ms',
            target.BUDGET_BETWEEN_TOKENS_MS,
            'frames passed on as they come',
            _BUILT,
            'processor time of both hops; queueing on a busy core and the '
            'network between data centres come on top',
        ),
    ]


def _agent(slopes: Slopes) -> list[Line]:
    announced = 3 * slopes['announce_bytes'] / target.REPORT_EVERY_S
    changes = target.CHANGES_PER_S * slopes['delta_bytes']
    control_us = (
        slopes['agent_idle_percent'] / 100 * _MICRO
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
            _BUILT,
            f'announcements {announced:,.0f} + changes {changes:,.0f}',
        ),
        Line(
            AGENT,
            'control processor time',
            control_us / _MICRO * 100,
            '% of a core',
            target.BUDGET_CORE * 100,
            'the same',
            _BUILT,
            'an idle agent that announces 10 times a second, far more often '
            'than assumed, + deltas',
        ),
        Line(
            AGENT,
            'memory',
            slopes['agent_rss_mib']
            + target.WORKSPACES * slopes['fleet_bytes_per_workspace'] / _MEBI,
            'MiB',
            target.BUDGET_MIB,
            'one parsed fleet; tombstones end with their deadlines',
            _BUILT,
            'an idle agent and the fleet',
        ),
        Line(
            AGENT,
            'data path',
            data_us / _MICRO * 100,
            '% of a core',
            None,
            'one task a request',
            _BUILT,
            f'{requests:.2f} requests/s and {chunks:,.0f} chunks/s an upstream',
        ),
    ]


def _control(slopes: Slopes) -> list[Line]:
    voters = target.REGION_CONTROL_VMS / target.GROUPS_PER_REGION
    announced = (
        target.REPLICAS_PER_REGION
        / target.GROUPS_PER_REGION
        / target.REPORT_EVERY_S
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
    held = keyed / target.GROUPS_PER_REGION * target.CLAIM_LIFE_S
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
            _BUILT,
            f'a leader; {slopes["consensus_follower_bytes"]:.0f} B/s a '
            'follower',
        ),
        Line(
            CONTROL,
            'announcements',
            announced_us / _MICRO * 100,
            '% of a core',
            None,
            'one open call an agent',
            _BUILT,
            f'{announced:,.0f} a second at each voter',
        ),
        Line(
            CONTROL,
            'differences of loads',
            watched_us / _MICRO * 100,
            '% of a core',
            None,
            'a difference a second a watcher',
            _BUILT,
            f'{watchers:,.0f} watchers of {target.WATCHED} upstreams',
        ),
        Line(
            CONTROL,
            'configuration pushed',
            pushed_us / _MICRO * 100,
            '% of a core',
            None,
            'one open call a follower; a fan-out tree is not needed yet',
            _BUILT,
            f'{followers:,.0f} followers, {target.CHANGES_PER_S:.2f} changes/s',
        ),
        Line(
            CONTROL,
            'configuration parsed',
            parsed_us / _MICRO * 100,
            '% of a core',
            None,
            'files a scope, so that a change parses its own scope only',
            _PLANNED,
            'today each voter parses the whole file at each change',
        ),
        Line(
            CONTROL,
            'commands for keys',
            commands * slopes['command_leader_us'] / _MICRO * 100,
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
            + held * slopes['claim_held_bytes'] / _MEBI,
            'MiB',
            None,
            'forgotten at their expiry; answers within a byte bound',
            _BUILT,
            f'{held:,.0f} claims a group, without stored answers',
        ),
        Line(
            CONTROL,
            'configuration written to the log',
            target.CHANGES_PER_S
            * target.WORKSPACES
            * slopes['text_bytes_per_workspace']
            / _KIBI,
            'KiB/s',
            None,
            'snapshots bound the log; files a scope shorten the entries',
            'snapshots built; files a scope planned',
            'each entry holds the whole file',
        ),
        Line(
            CONTROL,
            'sum at a leader',
            _leader_sum(
                slopes,
                announced_us + watched_us + pushed_us + parsed_us,
                commands,
            ),
            '% of a core',
            100,
            'the groups of a region share the work over six VMs',
            _PLANNED,
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
            _BUILT,
            "measured at today's size, 3 members, 99 in 100",
        ),
    ]


def _leader_sum(slopes: Slopes, pushed_us: float, commands: float) -> float:
    """Return the percents of a core that one leader of a region needs."""
    groups = target.ACCELERATORS / target.RANKS / target.REGIONS
    busy_us = pushed_us + commands * slopes['command_leader_us']
    maps = groups * slopes['map_decision_s'] / _MINUTE_S
    share = busy_us / _MICRO + maps
    return share * 100 + slopes['control_idle_percent']


def _maps(slopes: Slopes) -> list[Line]:
    groups = target.ACCELERATORS / target.RANKS
    return [
        Line(
            MAPS,
            'one decision',
            slopes['map_decision_s'],
            's',
            None,
            'moves that gain most a byte, vectorised over layers',
            _BUILT,
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
            _BUILT,
            'peak while deciding',
        ),
        Line(
            MAPS,
            'processor time, deciding every minute',
            slopes['map_decision_s'] / _MINUTE_S * 100,
            '% of a core a group',
            None,
            'by the control leader today; a planner a group is planned',
            _PLANNED,
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
            _BUILT,
            'a run of 20 minutes at 256 ranks, deciding every minute',
        ),
        Line(
            MAPS,
            'a map sent to every rank',
            slopes['map_bytes'] * target.RANKS / _MEBI,
            'MiB a switch',
            None,
            'by the leader to each rank; a tree is planned',
            _PLANNED,
            'an encoded map times 256 ranks',
        ),
    ]


def _operator(slopes: Slopes) -> list[Line]:
    text_mib = target.WORKSPACES * slopes['text_bytes_per_workspace'] / _MEBI
    parse_s = target.WORKSPACES * slopes['parse_us_per_workspace'] / _MICRO
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
            _BUILT,
            'parse and check of the whole file',
        ),
    ]


def _failures(slopes: Slopes) -> list[Line]:
    region = target.REPLICAS_PER_REGION
    per_center = region / 3
    followers = (target.NODES_PER_REGION + region) / target.REGION_CONTROL_VMS
    full_mib = target.WORKSPACES * slopes['text_bytes_per_workspace'] / _MEBI
    rejoin_s = followers * slopes['announce_us'] / _MICRO
    events = (target.FAILED_PER_DAY + target.RESTARTED_PER_DAY) / target.DAY_S
    return [
        Line(
            FAILURES,
            'an ordinary day',
            events * _MINUTE_S,
            'events a minute',
            None,
            'announcement leases; leaving is announced',
            _BUILT,
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
            _BUILT,
            'a third of a region',
        ),
        Line(
            FAILURES,
            'a control VM restarts: followers return',
            rejoin_s,
            's',
            None,
            'each returns with its revision and gets deltas only',
            _BUILT,
            f'{followers:,.0f} followers; the full text of {full_mib:.2f} MiB '
            'only where the history is too short',
        ),
    ]
