"""Seeded schedules: clients, an operator who repairs, and faults."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from snipebend.consensus import events as evt
from snipebend.consensus.config import CoreConfig
from snipebend.consensus.members import find_member, voter_ids
from snipebend.consensus.records import Member, Members
from tests.consensus.checker import Violation
from tests.consensus.world import Disk, Host, World

if TYPE_CHECKING:
    from collections.abc import Callable

HEAL_S = 6
DRAIN_S = 120


class Plan(NamedTuple):
    """What a schedule does; ``faults`` are drawn with equal chances."""

    faults: tuple[str, ...] = (
        'partition',
        'isolate_leader',
        'deafen',
        'heal',
        'heal',
        'crash',
        'crash_leader',
        'pause',
        'wipe',
        'snapshot',
        'snapshot',
        'hand_over',
        'grow',
        'shrink',
    )
    voters: tuple[int, ...] = (1, 3, 3, 5)
    duration_s: float = 12
    fault_every_s: float = 0.5
    client_every_s: float = 0.04
    down_s: float = 1.5
    losses: tuple[float, ...] = (0, 0.02, 0.15)
    delays_s: tuple[float, ...] = (0.004, 0.05, 0.3)
    syncs_s: tuple[float, ...] = (0.005, 0.1)
    gathers_s: tuple[float, ...] = (0, 0.01, 0.1)
    cfg: CoreConfig = CoreConfig(
        heartbeat_s=0.1,
        election_timeout_s=0.5,
        clock_drift=0.1,
        max_batch=4,
        max_in_flight=3,
        snapshot_retry_s=1,
    )
    eager: bool = False
    keep_identity: bool = False


@dataclass
class Tally:
    """What a run went through."""

    schedules: int = 0
    steps: int = 0
    committed: int = 0
    reads: int = 0
    terms: int = 0


class Schedule:
    """One seeded run; raises ``Violation`` when a promise is broken."""

    def __init__(self, seed: int, plan: Plan) -> None:
        """Found the group and draw how bad its network is."""
        self.plan = plan
        world = World(seed, plan.cfg, 0)
        self.rng = world.rng
        voters = self.rng.choice(plan.voters)
        self.world = World(self.rng.randrange(1 << 30), plan.cfg, voters)
        self.world.loss = self.rng.choice(plan.losses)
        self.world.duplication = self.rng.choice([0, 0.1])
        self.world.gather_s = self.rng.choice(plan.gathers_s)
        self.world.delay = (0.001, self.rng.choice(plan.delays_s))
        self.world.sync_delay = (0.001, self.rng.choice(plan.syncs_s))
        # Nobody may look at a moment when all that know more are down.
        self.seen_index = 0
        self.seen_members = self.world.hosts[0].disk.founders
        self.committed_before = 0
        self.fresh = iter(range(1, 1 << 30))
        # Identities that the operator wants out, and machines wanted in.
        self.leaving: set[str] = set()
        self.joining: dict[str, Host] = {}

    def run(self) -> World:
        """Run with faults, then without, and see that the group recovers."""
        world = self.world
        self._repeat(self.plan.client_every_s, self._client)
        self._repeat(0.15, self._operator)
        self._repeat(self.plan.fault_every_s, self._fault)
        world.run_until(self.plan.duration_s)
        self._heal_all()
        self.committed_before = max(world.checker.committed, default=0)
        world.run_until(self.plan.duration_s + HEAL_S)
        for _ in range(DRAIN_S):
            world.run_until(world.now + 1)
            missing = self._unrecovered()
            if not missing:
                return world
        raise Violation(f'after recovery {missing}')

    def _repeat(self, every_s: float, call: Callable[[], None]) -> None:
        def again() -> None:
            call()
            self.world.at(self.rng.uniform(0, 2 * every_s), again)

        self.world.at(every_s, again)

    def _client(self) -> None:
        if self.world.now > self.plan.duration_s + HEAL_S:
            return
        leaders = self.world.leaders()
        host = self.rng.choice(leaders or self.world.hosts)
        for _ in range(self.rng.choice([1, 1, 3])):
            self.world.propose(host)
        for reader in leaders:
            self.world.read(reader)

    def _fault(self) -> None:
        if self.world.now < self.plan.duration_s:
            getattr(self, f'_{self.rng.choice(self.plan.faults)}')()

    def _partition(self) -> None:
        names = [host.name for host in self.world.hosts]
        side = set(self.rng.sample(names, self.rng.randint(0, len(names))))
        self._cut_off(side)

    def _isolate_leader(self) -> None:
        leaders = self.world.leaders()
        if leaders:
            self._cut_off({self.rng.choice(leaders).name})

    def _deafen(self) -> None:
        """Cut one member off the leaders only; the others still hear them."""
        deaf = self.rng.choice(self.world.hosts).name
        leading = {host.name for host in self.world.leaders()}
        self.world.cut = lambda source, target: (
            (target == deaf and source in leading)
            or (source == deaf and target in leading)
        )

    def _cut_off(self, side: set[str]) -> None:
        one_way = self.rng.choice((True, False, False, False))
        self.world.cut = lambda source, target: (
            (source in side) > (target in side)
            if one_way
            else (source in side) != (target in side)
        )

    def _heal(self) -> None:
        self.world.cut = lambda source, target: False

    def _crash(self) -> None:
        self._crash_one(self.world.hosts)

    def _crash_leader(self) -> None:
        self._crash_one(self.world.leaders())

    def _crash_all(self) -> None:
        for host in tuple(self.world.hosts):
            self._crash_one([host])

    def _crash_others(self) -> None:
        """Leave a leader alone that may hold its lease."""
        for host in tuple(self.world.hosts):
            if host not in self.world.leaders():
                self._crash_one([host])

    def _crash_one(self, hosts: list[Host]) -> None:
        if hosts:
            host = self.rng.choice(hosts)
            self.world.crash(host)
            down = self.rng.uniform(0, self.plan.down_s)
            self.world.at(down, lambda: self._start(host))

    def _start(self, host: Host) -> None:
        if host.core is None:
            self.world.start(host)

    def _pause(self) -> None:
        host = self.rng.choice(self.world.hosts)
        host.paused_until = self.world.now + self.rng.uniform(0, 2)

    def _stall_disk(self) -> None:
        """Let no write of one machine end for a while."""
        host = self.rng.choice(self.world.leaders() or self.world.hosts)
        stalled_until = self.world.now + self.rng.uniform(0, 3)
        host.synced_at = max(host.synced_at, stalled_until)

    def _wipe(self) -> None:
        """Lose a disk, if no other one is waiting for its repair."""
        host = self.rng.choice(self.world.hosts)
        repairing = self.leaving or self.joining
        if repairing or len(self._members().voters) < 3:
            return
        self.world.crash(host)
        if self.plan.keep_identity:
            host.disk = Disk(host.disk.founders)
        else:
            self._renew(host)
        self._start(host)

    def _renew(self, host: Host) -> None:
        old = host.member
        if find_member(self._members(), old.member_id):
            self.leaving.add(old.member_id)
            self.joining[host.name] = host
        number = next(self.fresh)
        host.member = Member(f'{host.name}-{number}', host.name, '')
        host.disk = Disk(Members())

    def _snapshot(self) -> None:
        self.world.take_snapshot(self.rng.choice(self.world.hosts))

    def _hand_over(self) -> None:
        for host in self.world.leaders():
            self.world.feed(host, evt.HandOver())

    def _grow(self) -> None:
        idle = self.plan.eager or not self.joining
        if len(self.world.hosts) < 7 and idle:
            name = f'h{len(self.world.hosts)}'
            member = Member(f'{name}-0', name, '')
            self.joining[name] = self.world.add_host(member, Members())

    def _shrink(self) -> None:
        voters = voter_ids(self._members())
        idle = self.plan.eager or not self.leaving
        if len(voters) - len(self.leaving) > 3 and idle:
            self.leaving.add(self.rng.choice(voters))

    def _members(self) -> Members:
        """Give the members last seen committed by any process."""
        for host in self.world.hosts:
            if host.core is not None:
                index = host.core.status().commit_index
                if index > self.seen_index:
                    self.seen_index = index
                    self.seen_members = host.core.members_at(index)
        return self.seen_members

    def _operator(self) -> None:
        """Bring the members nearer to what is wanted, one change a time."""
        for host in self.world.leaders():
            changes = self._wanted(host.core.status().members)
            self.rng.shuffle(changes)
            for change in changes if self.plan.eager else changes[:1]:
                proposal_id = f'm{next(self.fresh)}'
                event = evt.MembersProposed(proposal_id, change)
                self.world.feed(host, event)
        self._note_done(self._members())

    def _wanted(self, members: Members) -> list[evt.MembersChange]:
        changes: list[evt.MembersChange] = []
        for host in self.joining.values():
            member_id = host.member.member_id
            if find_member(members, member_id) is None:
                changes.append(evt.AddLearner(host.member))
            else:
                changes.append(evt.PromoteLearner(member_id))
        changes += [evt.RemoveMember(one) for one in sorted(self.leaving)]
        return changes

    def _note_done(self, members: Members) -> None:
        voters = voter_ids(members)
        for name, host in tuple(self.joining.items()):
            if host.member.member_id in voters:
                self.joining.pop(name)
        for member_id in tuple(self.leaving):
            if find_member(members, member_id) is None:
                self.leaving.discard(member_id)

    def _heal_all(self) -> None:
        self._heal()
        self.world.loss = 0
        self.world.delay = (0.001, 0.005)
        for host in self.world.hosts:
            host.paused_until = 0
            self._start(host)

    def _unrecovered(self) -> str:
        """Say what a healed group lacks: a leader, commits, agreement."""
        leaders = self.world.leaders()
        if len(leaders) != 1:
            return f'{len(leaders)} leaders'
        leader = leaders[0].core.status()
        if leader.commit_index <= self.committed_before:
            return 'nothing committed'
        behind = [
            host.name
            for host in self.world.hosts
            if find_member(leader.members, host.member.member_id)
            and host.applied < leader.commit_index
        ]
        return f'{behind} behind' if behind else ''


def search(seeds: range, plans: tuple[Plan, ...]) -> Tally:
    """Run a schedule for each seed, the plans taking turns.

    The error names the first bad seed.
    """
    tally = Tally()
    for seed in seeds:
        try:
            world = Schedule(seed, plans[seed % len(plans)]).run()
        except Exception as exc:
            raise Violation(f'seed {seed}: {exc!r}') from exc
        tally.schedules += 1
        tally.steps += world.steps
        tally.committed += len(world.checker.committed)
        tally.reads += world.checker.reads_checked
        tally.terms += len(world.checker.leaders)
    return tally
