"""Prints the comparison of all policies: ``python -m bench.routing_table``."""

from __future__ import annotations

import sys

from bench.quick_routing import (
    BASELINES,
    KILL_STEP,
    LOADS,
    good_share,
    recovery_steps,
    run_policy,
)
from bench.routing_figures import compute_figures
from bench.routing_runs import Scenario

POLICIES = (*BASELINES, 'router')
#: Ages of load reports in steps of 25 ms.
LAGS = (0, 40, 200)
STEPS = 2000


def print_row(cells: list[str]) -> None:
    """Print one row of a Markdown table."""
    sys.stdout.write(f'| {" | ".join(cells)} |\n')
    sys.stdout.flush()


def print_head(cells: list[str]) -> None:
    """Print the head of a Markdown table."""
    sys.stdout.write('\n')
    print_row(cells)
    print_row(['---' for _ in cells])


def print_loads() -> None:
    """Print the figures of each policy at each load."""
    names: list[str] = []
    for load in LOADS:
        for policy in POLICIES:
            scenario = Scenario(load=load, steps=STEPS)
            figures = compute_figures(run_policy(scenario, policy))
            if not names:
                names = list(figures)
                print_head(['load', 'policy', *names])
            cells = [f'{figures[name]:.3g}' for name in names]
            print_row([f'{load}x', policy, *cells])


def print_herding() -> None:
    """Print the spread of load with several entries and delayed reports."""
    print_head(
        ['entries', 'late s', 'policy', 'max/mean', 'ttft p95', 'hits', 'good']
    )
    for entries in (1, 3, 10):
        for lag in LAGS:
            scenario = Scenario(entries=entries, lag=lag, events=True)
            for policy in ('least_reported', 'least_outstanding', 'router'):
                figures = compute_figures(run_policy(scenario, policy))
                columns = ('spread', 'ttft_p95', 'hits', 'good_per_step')
                cells = [f'{figures[name]:.3g}' for name in columns]
                print_row([str(entries), str(lag / 40), policy, *cells])


def print_failures() -> None:
    """Print the effects of a crashed upstream and of a poison request."""
    print_head(
        [
            'entries',
            'policy',
            'good around the crash',
            'recovery steps',
            'attempts at the crashed upstream',
            'lost per poison',
            'good after poison',
        ]
    )
    for entries in (1, 3):
        for policy in POLICIES:
            killed = run_policy(
                Scenario(entries=entries, kill_at=KILL_STEP), policy
            )
            poisoned = run_policy(
                Scenario(entries=entries, poison_at=KILL_STEP, steps=1600),
                policy,
            )
            print_row(
                [
                    str(entries),
                    policy,
                    f'{good_share(killed, KILL_STEP - 100, 600):.3f}',
                    str(recovery_steps(killed)),
                    str(len(killed.failed_after_death)),
                    str(poisoned.lost),
                    f'{good_share(poisoned, KILL_STEP, 1000):.3f}',
                ]
            )


def main() -> int:
    """Print all tables."""
    print_loads()
    print_herding()
    print_failures()
    return 0


if __name__ == '__main__':
    sys.exit(main())
