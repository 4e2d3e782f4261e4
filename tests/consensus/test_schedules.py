"""Searches for violations of Raft's safety that only rare schedules provoke.

Seeded random schedules combine message loss and delay, crashes, slow and
stalled disks, wiped disks, partitions and member changes. The search is useful
only if it finds faults, so it must also detect each planted one.
"""

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

# Number of schedules and the first seed; successive seeds use the next plan.
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
    inbox_delays_s=(0,),
    down_s=0.3,
    fault_every_s=0.15,
    faults=('crash_leader',),
)
SNAPSHOTS = PLAN._replace(
    losses=(0, 0.02),
    delays_s=(0.004, 0.05),
    client_every_s=0.02,
    faults=(
        'crash',
        'snapshot',
        'snapshot',
        'snapshot',
        'cut_from_leaders',
        'heal',
    ),
)
CHANGES = PLAN._replace(
    concurrent_changes=True,
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
#: A leader is isolated, and the other members restart meanwhile.
ISOLATED_LEADERS = LEASES._replace(
    faults=('isolate_leader', 'crash_others', 'crash_others', 'heal'),
    fault_every_s=0.2,
    down_s=0.1,
)
#: Additional schedules with stalled disks.
STALL_SCHEDULES = max(8, SCHEDULES // 4)
#: Additional schedules in which all members restart.
RESTART_SCHEDULES = max(12, SCHEDULES // 4)
PLANS = (PLAN, PLAN, PLAN, SNAPSHOTS, LEASES, CRASHES, CHANGES)


VOTE_CRASHES = CRASHES._replace(
    faults=('crash', 'crash_leader'), syncs_s=(0.1,)
)


class PlantedFault(NamedTuple):
    """A fault, a plan that provokes it, and the first seed to try.

    The first seeds are known to detect the fault, to keep runs short.
    """

    fault: Callable[[], AbstractContextManager[object]]
    plan: Plan
    first_seed: int = 0


PLANTED_FAULTS = (
    PlantedFault(faults.no_fsync_wait, PLAN, 2),
    PlantedFault(faults.no_fsync_wait, STALLS),
    PlantedFault(faults.vote_not_persisted, VOTE_CRASHES),
    PlantedFault(faults.earlier_term_committed_by_count, CRASHES, 1),
    PlantedFault(faults.lease_without_drift, LEASES, 17),
    PlantedFault(faults.reads_without_lease, LEASES, 1),
    PlantedFault(faults.lease_kept_at_hand_over, HAND_OVERS, 17),
    PlantedFault(faults.previous_entry_unchecked, PLAN),
    PlantedFault(faults.matching_entries_truncated, PLAN, 1),
    PlantedFault(faults.overlapping_member_changes, CHANGES, 9),
    PlantedFault(faults.majority_of_restarts_suffices, ISOLATED_LEADERS),
    PlantedFault(faults.process_start_too_early, ISOLATED_LEADERS),
)


def find_first_violation(plan: Plan, seeds: range) -> int | None:
    """Return the first seed whose schedule violates a safety property."""
    for seed in seeds:
        try:
            Schedule(seed, plan).run()
        except (AssertionError, CorruptionError):
            return seed
    return None


class SearchTest(unittest.TestCase):
    """Random schedules of faults; the checker verifies every step.

    Most plans use the faults that make one kind of violation likely.
    """

    def test_no_schedule_violates_safety(self) -> None:
        """No property is violated, and each group recovers after the faults."""
        seeds = range(FIRST_SEED, FIRST_SEED + SCHEDULES)
        stats = search(seeds, PLANS)
        sys.stdout.write(f'{stats}\n')
        self.assertGreater(stats.committed, 100 * SCHEDULES)
        self.assertGreater(stats.terms, SCHEDULES)
        self.assertGreater(stats.reads, SCHEDULES)

    def test_stalled_disks_violate_no_safety(self) -> None:
        """Entries applied before the local sync are not lost or changed."""
        seeds = range(FIRST_SEED, FIRST_SEED + STALL_SCHEDULES)
        stats = search(seeds, (STALLS,))
        sys.stdout.write(f'{stats}\n')
        self.assertGreater(stats.committed, 100 * STALL_SCHEDULES)

    def test_restarts_of_all_members_violate_no_safety(self) -> None:
        """A leader elected without waiting has all committed entries."""
        seeds = range(FIRST_SEED, FIRST_SEED + RESTART_SCHEDULES)
        stats = search(seeds, (RESTARTS, ISOLATED_LEADERS))
        sys.stdout.write(f'{stats}\n')
        self.assertGreater(stats.committed, 20 * RESTART_SCHEDULES)

    def test_planted_faults_are_detected(self) -> None:
        """Each planted fault is detected; without it the schedule passes."""
        for planted_fault in PLANTED_FAULTS:
            with self.subTest(fault=planted_fault.fault.__name__):
                start = planted_fault.first_seed
                with planted_fault.fault():
                    seeds = range(start, start + SEEDS_TRIED)
                    seed = find_first_violation(planted_fault.plan, seeds)
                self.assertIsNotNone(seed, 'not caught')
                Schedule(seed, planted_fault.plan).run()

    def test_reused_identity_after_a_wiped_disk_is_detected(self) -> None:
        """A wiped disk under its old identity loses its votes and entries."""
        reused_identity = PLAN._replace(keep_identity=True)
        seed = find_first_violation(reused_identity, range(SEEDS_TRIED))
        self.assertIsNotNone(seed, 'not caught')
        Schedule(seed, PLAN).run()
