"""The seeded search over schedules, and that it finds planted faults."""

from __future__ import annotations

import os
import sys
import unittest
from typing import TYPE_CHECKING, NamedTuple

from snipebend.errors.hierarchy import CorruptionError
from tests.consensus import faults
from tests.consensus.schedule import Plan, Schedule, search

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

# The plans take turns. SNIPEBEND_SCHEDULES asks for more schedules, from
# SNIPEBEND_FIRST_SEED on.
SCHEDULES = int(os.environ.get('SNIPEBEND_SCHEDULES', '42'))
FIRST_SEED = int(os.environ.get('SNIPEBEND_FIRST_SEED', '0'))
SEEDS_TRIED = 60
PLAN = Plan()


STEADY = PLAN._replace(
    losses=(0,), delays_s=(0.004,), syncs_s=(0.005,), voters=(3,)
)
LEASES = STEADY._replace(
    cfg=PLAN.cfg._replace(clock_drift=0.3),
    faults=('isolate_leader', 'heal'),
    fault_every_s=0.7,
)
HAND_OVERS = STEADY._replace(
    faults=('partition', 'hand_over', 'hand_over', 'heal'),
    fault_every_s=0.08,
    client_every_s=0.06,
)
CRASHES = PLAN._replace(
    voters=(3,),
    cfg=PLAN.cfg._replace(max_batch=1, max_in_flight=1, election_timeout_s=0.3),
    losses=(0,),
    delays_s=(0.15,),
    syncs_s=(0.02,),
    gathers_s=(0,),
    down_s=0.3,
    fault_every_s=0.15,
    faults=('crash_leader',),
)
SNAPSHOTS = PLAN._replace(
    losses=(0, 0.02),
    delays_s=(0.004, 0.05),
    client_every_s=0.02,
    faults=('crash', 'snapshot', 'snapshot', 'snapshot', 'deafen', 'heal'),
)
CHANGES = PLAN._replace(
    eager=True,
    voters=(3,),
    fault_every_s=0.2,
    faults=(
        *('grow', 'grow', 'shrink', 'shrink'),
        *('partition', 'partition', 'heal'),
    ),
)
STALLS = PLAN._replace(
    voters=(3, 5),
    delays_s=(0.004, 0.05),
    faults=(
        *('stall_disk', 'stall_disk', 'crash', 'crash_leader', 'wipe'),
        *('partition', 'heal', 'snapshot', 'hand_over', 'grow', 'shrink'),
    ),
)
RESTARTS = STEADY._replace(
    cfg=PLAN.cfg._replace(clock_drift=0.3, heartbeat_s=0.05),
    voters=(3, 5),
    delays_s=(0.004, 0.05),
    down_s=0.4,
    faults=(
        *('crash_all', 'crash_all', 'crash_others', 'isolate_leader'),
        *('partition', 'heal', 'heal', 'crash', 'wipe', 'hand_over'),
    ),
    fault_every_s=0.5,
)
#: A leader that nobody reaches, and the others restart at that time.
LEFT_ALONE = LEASES._replace(
    faults=('isolate_leader', 'crash_others', 'crash_others', 'heal'),
    fault_every_s=0.2,
    down_s=0.1,
)
#: Schedules of stalled disks in each run, beside the others.
STALL_SCHEDULES = max(8, SCHEDULES // 4)
#: Schedules in which all restart, beside the others.
RESTART_SCHEDULES = max(12, SCHEDULES // 4)
PLANS = (PLAN, PLAN, PLAN, SNAPSHOTS, LEASES, CRASHES, CHANGES)


FORGETFUL = CRASHES._replace(faults=('crash', 'crash_leader'), syncs_s=(0.1,))


class Planted(NamedTuple):
    """A fault, a plan that provokes it, and where its seeds start.

    The first seeds are those that once found the fault, to keep runs short.
    """

    fault: Callable[[], AbstractContextManager[object]]
    plan: Plan
    first_seed: int = 0


PLANTED = (
    Planted(faults.no_fsync_wait, PLAN, 2),
    Planted(faults.no_fsync_wait, STALLS),
    Planted(faults.vote_forgotten, FORGETFUL),
    Planted(faults.earlier_term_counted, CRASHES, 1),
    Planted(faults.lease_without_drift, LEASES, 17),
    Planted(faults.stale_reads, LEASES, 1),
    Planted(faults.lease_kept_at_hand_over, HAND_OVERS, 17),
    Planted(faults.previous_entry_unchecked, PLAN),
    Planted(faults.agreeing_entries_dropped, PLAN, 1),
    Planted(faults.two_changes_at_once, CHANGES, 9),
    Planted(faults.others_leases_forgotten, LEFT_ALONE),
    Planted(faults.begun_too_early, LEFT_ALONE),
)


def first_caught(plan: Plan, seeds: range) -> int | None:
    """Give the first seed whose schedule breaks a promise."""
    for seed in seeds:
        try:
            Schedule(seed, plan).run()
        except (AssertionError, CorruptionError):
            return seed
    return None


class SearchTest(unittest.TestCase):
    """Random schedules of faults; the checker sees every step."""

    def test_no_schedule_breaks_a_promise(self) -> None:
        """All promises hold, and each group recovers once it is healed."""
        seeds = range(FIRST_SEED, FIRST_SEED + SCHEDULES)
        tally = search(seeds, PLANS)
        sys.stdout.write(f'{tally}\n')
        self.assertGreater(tally.committed, 100 * SCHEDULES)
        self.assertGreater(tally.terms, SCHEDULES)
        self.assertGreater(tally.reads, SCHEDULES)

    def test_stalled_disks_break_no_promise(self) -> None:
        """Applied before it is synced here, nothing is lost or changed."""
        seeds = range(FIRST_SEED, FIRST_SEED + STALL_SCHEDULES)
        tally = search(seeds, (STALLS,))
        sys.stdout.write(f'{tally}\n')
        self.assertGreater(tally.committed, 100 * STALL_SCHEDULES)

    def test_restarts_of_all_break_no_promise(self) -> None:
        """A leader elected at once holds all that was accepted before."""
        seeds = range(FIRST_SEED, FIRST_SEED + RESTART_SCHEDULES)
        tally = search(seeds, (RESTARTS, LEFT_ALONE))
        sys.stdout.write(f'{tally}\n')
        self.assertGreater(tally.committed, 20 * RESTART_SCHEDULES)

    def test_planted_faults_are_found(self) -> None:
        """Each planted fault is caught; the same schedule is fine without."""
        for planted in PLANTED:
            with self.subTest(fault=planted.fault.__name__):
                start = planted.first_seed
                with planted.fault():
                    seeds = range(start, start + SEEDS_TRIED)
                    seed = first_caught(planted.plan, seeds)
                self.assertIsNotNone(seed, 'not caught')
                Schedule(seed, planted.plan).run()

    def test_an_old_identity_on_a_wiped_disk_is_found(self) -> None:
        """A disk that forgot its promises under its name breaks them."""
        forgetful = PLAN._replace(keep_identity=True)
        seed = first_caught(forgetful, range(SEEDS_TRIED))
        self.assertIsNotNone(seed, 'not caught')
        Schedule(seed, PLAN).run()
