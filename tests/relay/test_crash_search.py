"""Searches for fleets that send crashing parts on, or refuse sound requests.

A seed determines arrivals, choices, delays and losses of a simulated fleet.
"""

from __future__ import annotations

import unittest
from types import MappingProxyType

from snipebend.hashing.part_keys import is_part_key
from tests.relay.crash_simulation import (
    MAX_LATER,
    CrashSimulation,
    Scenario,
)

SEEDS = 2

#: Scenarios in which requests with crashing parts arrive.
CRASHING = MappingProxyType(
    {
        'first place': Scenario(place=0),
        'middle place': Scenario(place=1),
        'last shared place': Scenario(place=2),
        'one entry': Scenario(entries=1, loss=0),
        'rare': Scenario(bad_rate=0.5, until_s=60),
        'group': Scenario(upstreams=16, group=True, until_s=90),
        'group, rare': Scenario(
            upstreams=16, group=True, bad_rate=0.5, until_s=120
        ),
        'many parts': Scenario(bad_parts=12, bad_rate=6, until_s=40),
        'restarts': Scenario(restarts=tuple(range(8, 30, 2))),
        'cut off': Scenario(cut=(5, 15)),
        'lossy': Scenario(loss=0.5),
        'slow to begin': Scenario(first_event_s=1.0),
        'ends in the middle': Scenario(crash_after_s=0.8, bad_rate=3),
        'beside a failure of all': Scenario(mass_ends=(7.0,)),
    }
)

#: Scenarios without a crashing part: upstreams end for other reasons.
SOUND = MappingProxyType(
    {
        'all end once': Scenario(bad_rate=1e-9, mass_ends=(8.0,)),
        'all end twice': Scenario(bad_rate=1e-9, mass_ends=(8.0, 14.0)),
        'group ends': Scenario(
            upstreams=16, group=True, bad_rate=1e-9, mass_ends=(8.0, 16.0)
        ),
    }
)


#: Scenarios and seeds in which a rare part runs on upstreams that fail before
#: any request with it was served.
NEVER_SERVED = (
    ('all end twice', 5),
    ('all end twice', 11),
    ('all end twice', 19),
    ('group ends', 29),
)

#: So many bad requests that no upstream lives for long; they stop after a time.
FLOODS = MappingProxyType(
    {
        'flood': Scenario(
            bad_parts=12, bad_rate=20, bad_until_s=15, until_s=45
        ),
        'flood of the group': Scenario(
            upstreams=16,
            group=True,
            bad_parts=12,
            bad_rate=20,
            bad_until_s=25,
            until_s=60,
        ),
    }
)


def run_all(scenarios):
    """Run each scenario with all seeds; return the outcomes by name."""
    return {
        f'{name}, seed {seed}': CrashSimulation(scenario, seed).run()
        for name, scenario in scenarios.items()
        for seed in range(SEEDS)
    }


class TestCrashSearch(unittest.TestCase):
    """Few requests with the parts are sent, and the sound ones are begun."""

    def test_crashing_parts(self):
        sent_on, refused = {}, {}
        for name, outcome in run_all(CRASHING).items():
            if any(later > MAX_LATER for later in outcome.later.values()):
                sent_on[name] = dict(outcome.later)
            sound = outcome.sound
            if sound['late', 'begun'] < sound['late', 'refused']:
                refused[name] = dict(sound)
        self.assertEqual(sent_on, {})
        self.assertEqual(refused, {})

    def test_failures_of_many_upstreams_quarantine_nothing(self):
        quarantined = {
            name: sorted(table.quarantined)
            for name, outcome in run_all(SOUND).items()
            for table, _ in outcome.entries
            if any(map(is_part_key, table.quarantined))
        }
        self.assertEqual(quarantined, {})

    def test_failures_spare_parts_that_were_never_served(self):
        outcomes = {
            (name, seed): CrashSimulation(SOUND[name], seed).run()
            for name, seed in NEVER_SERVED
        }
        quarantined = {
            case: sorted(table.quarantined)
            for case, outcome in outcomes.items()
            for table, _ in outcome.entries
            if any(map(is_part_key, table.quarantined))
        }
        self.assertEqual(quarantined, {})

    def test_sound_requests_are_served_again_after_a_flood(self):
        refused = {
            name: dict(outcome.sound)
            for name, outcome in run_all(FLOODS).items()
            if outcome.sound['after', 'begun']
            < outcome.sound['after', 'refused']
        }
        self.assertEqual(refused, {})


if __name__ == '__main__':
    unittest.main()
