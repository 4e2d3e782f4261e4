"""Hypothesis strategies for valid fleets."""

from __future__ import annotations

from hypothesis import strategies as st

from snipebend.fleet.model import (
    Fleet,
    Group,
    Priority,
    RoutingPolicy,
    Service,
    ServiceCall,
    UpstreamPolicy,
    Weights,
    Workspace,
)

_POSITIVE_FLOATS = st.floats(min_value=1e-9, max_value=1e6)
_NON_NEGATIVE_FLOATS = st.floats(min_value=0, max_value=1e9)
_COUNTS = st.integers(min_value=1, max_value=2**31 - 1)
_NAMES = st.sampled_from(('a', 'B.c', 'd_e', '0', 'f-g', 'true', '1.5'))
_KEYS = st.text(st.characters(min_codepoint=0x21, max_codepoint=0x7E))


def _names() -> st.SearchStrategy[list[str]]:
    return st.lists(_NAMES, unique=True, max_size=4)


@st.composite
def _upstreams(draw: st.DrawFn) -> tuple[UpstreamPolicy, ...]:
    return tuple(
        UpstreamPolicy(
            name=name,
            kind=kind,
            model='org/model:1' if kind == 'engine' else '',
            fencing=draw(st.sampled_from(('checked', 'ignored'))),
            max_concurrency=draw(_COUNTS),
            slow_start_s=draw(
                _NON_NEGATIVE_FLOATS.map(lambda number: number / 1e3)
            ),
            ejection_failures=draw(_COUNTS),
            ejection_s=draw(_POSITIVE_FLOATS),
        )
        for name in draw(_names())
        for kind in (draw(st.sampled_from(('engine', 'service'))),)
    )


def _group(name: str, slots: int) -> Group:
    return Group(name, 'org/model:1', (name,), 4, slots * 4, 2, slots, 9, 8, 0)


@st.composite
def _workspaces(
    draw: st.DrawFn, priorities: tuple[Priority, ...], models: list[str]
) -> tuple[Workspace, ...]:
    # No name is a suffix of another, so the API keys are distinct.
    return tuple(
        Workspace(
            name=name,
            api_key=f'{draw(_KEYS)}{name}',
            priority=draw(st.sampled_from(priorities)).name,
            rate_per_s=draw(_POSITIVE_FLOATS),
            burst=draw(_COUNTS),
            max_concurrency=draw(_COUNTS),
            weight=draw(_COUNTS),
            models=tuple(models[: draw(st.integers(0, 1))]),
        )
        for name in draw(_names())
        if priorities
    )


@st.composite
def fleets(draw: st.DrawFn) -> Fleet:
    """Generate a valid fleet.

    There are few distinct names, so that two fleets have entries in common.
    """
    upstreams = draw(_upstreams())
    engines = [entry for entry in upstreams if entry.kind == 'engine']
    plain = [entry for entry in upstreams if entry.kind == 'service']
    priorities = tuple(
        Priority(name, draw(_COUNTS), draw(st.integers(0, 9)))
        for name in draw(_names())
    )
    return Fleet(
        name=draw(_NAMES),
        stale_policy=draw(st.sampled_from(('refuse', 'serve'))),
        weights=Weights(draw(_POSITIVE_FLOATS), draw(_NON_NEGATIVE_FLOATS)),
        routing=RoutingPolicy(
            request_timeout_s=2e6,
            attempt_timeout_s=draw(_POSITIVE_FLOATS),
            retry_ratio=draw(st.floats(0, 1)),
            crash_limit=draw(_COUNTS),
        ),
        priorities=priorities,
        upstreams=upstreams,
        groups=tuple(
            _group(entry.name, draw(st.integers(1, 9))) for entry in engines
        ),
        workspaces=draw(
            _workspaces(priorities, [entry.model for entry in engines])
        ),
        services=tuple(
            Service(
                entry.name,
                f'/{entry.name}',
                entry.name,
                (ServiceCall('POST', f'/{entry.name}/{{id}}', True),),
            )
            for entry in plain
        ),
    )
