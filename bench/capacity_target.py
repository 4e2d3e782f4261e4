"""The target size, and assumptions where the target gives no value."""

from __future__ import annotations

NODES = 1100
REPLICAS = 12000
REGIONS = 7
DATA_CENTERS = 21
CONTROL_VMS = 47
REQUESTS_PER_S = 20_000
TOKENS_PER_S = 5.7e6
WORKSPACES = 4800
CHANGES_PER_DAY = 25_000
DAY_S = 86_400
FAILED_PER_DAY = 220
RESTARTED_PER_DAY = 1900
RANKS = 256
ACCELERATORS = 24_000

#: Budgets of control: bytes, share of a core and memory per node, the time
#: until a change is in force, and the 95th percentiles of the time to the
#: first token and between tokens.
BUDGET_BYTES_PER_S = 3000
BUDGET_CORE = 0.034
BUDGET_MIB = 256
BUDGET_IN_FORCE_S = 17
BUDGET_FIRST_TOKEN_MS = 470
BUDGET_BETWEEN_TOKENS_MS = 58

#: Assumption: an entry watches 20 upstreams of each of the 32 models, each of
#: which has a pool of about 54 in a region.
WATCHED = 640
#: The other assumptions; the page explains them.
REGION_CONTROL_VMS = 6
GLOBAL_CONTROL_VMS = 5
GROUPS_PER_REGION = 2
KEYED_SHARE = 0.05
CLAIM_LIFETIME_S = 3600
ANNOUNCE_INTERVAL_S = 2.0

NODES_PER_REGION = NODES / REGIONS
REPLICAS_PER_REGION = REPLICAS / REGIONS
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S

TARGET_ROWS = (
    ('nodes (entries)', f'{NODES:,}'),
    ('replicas (each an upstream with an agent)', f'{REPLICAS:,}'),
    ('requests a second at the peak', f'{REQUESTS_PER_S:,}'),
    ('tokens a second at the peak', '5,700,000'),
    ('first token, 95 in 100', '0.47 s'),
    ('between tokens, 95 in 100', '58 ms'),
    ('workspaces, models', f'{WORKSPACES:,}, 32'),
    ('regions, data centres', f'{REGIONS}, {DATA_CENTERS}'),
    (
        'changes a day, in force within',
        f'{CHANGES_PER_DAY:,}, {BUDGET_IN_FORCE_S} s',
    ),
    (
        'control, a node',
        f'{BUDGET_CORE:.1%} of a core, {BUDGET_MIB} MB, 3 KB/s',
    ),
    ('VMs set aside', f'{CONTROL_VMS}'),
    (
        'failures a day',
        f'{FAILED_PER_DAY} VMs fail, {RESTARTED_PER_DAY:,} restart',
    ),
)

ASSUMPTIONS = (
    (
        'control VMs',
        f'{REGION_CONTROL_VMS} in each region (two groups of three voters, '
        f'one in each data centre) and {GLOBAL_CONTROL_VMS} for the global '
        f'group: {REGION_CONTROL_VMS * REGIONS + GLOBAL_CONTROL_VMS}',
    ),
    (
        'upstreams that an entry watches',
        f'{WATCHED} of the {REPLICAS_PER_REGION:,.0f} in its region: 20 for '
        'each of 32 models',
    ),
    ('share of requests with an idempotency key', f'{KEYED_SHARE:.0%}'),
    ('life of a claim', f'{CLAIM_LIFETIME_S / 3600:g} h'),
    (
        'announcements',
        f'every {ANNOUNCE_INTERVAL_S:g} s from each agent to the three voters '
        'of one group',
    ),
    ('traffic', 'even over regions, entries and upstreams'),
)

#: Each role's state and its messages.
ROLES = (
    (
        'entry',
        'configuration, its share of the directory, prefix index, counts of '
        'its own requests; nothing on disk',
        'configuration deltas and differences of the directory in; '
        'confirmations, claims, settlements and crash reports out',
    ),
    (
        'agent',
        'configuration, records of attempts until their deadlines, fence, the '
        "rank's expert map; nothing on disk",
        'announcements out; configuration deltas, seals, orders and map '
        'switches in',
    ),
    (
        'control',
        'log and snapshots on disk; fleet, claims, fences, crashes and expert '
        'maps in memory; the directory as soft state',
        'appended entries and beats between voters; announcements in; deltas '
        'and differences out',
    ),
    (
        'operator',
        'the fleet file',
        'one apply, resent with the same change id',
    ),
)

NOT_WORKED_OUT = (
    'Regions cut from each other: one control group is built, so a region that '
    'loses the others would lose control with it unless each runs its own '
    'fleet. Groups a region under a global one, with changes pending while a '
    'region is away, are planned.',
    'Streams in flight at an entry: their memory was not measured as a slope.',
    'The network between VMs: every slope was measured on loopback.',
    'The engines: the budgets of 0.47 s and 58 ms are mostly theirs; the page '
    'gives what snipebend adds.',
    'A rack or a data centre that returns at once: its agents come back as '
    'ordinary joins, which were measured one by one only.',
)
