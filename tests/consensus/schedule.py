"""Randomized, seeded schedules of clients, membership repairs and faults."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from snipebend.consensus import events as evt
from snipebend.consensus.config import CoreConfig
from snipebend.consensus.members import find_member, voter_ids
from snipebend.consensus.records import Member, Members
from tests.consensus.checker import Violation
from tests.consensus.world import Disk, SimulatedVm, World

if TYPE_CHECKING:
    from collections.abc import Callable

#: Seconds for which clients continue after the faults have ended.
HEAL_S = 6

#: Seconds after that within which the group must have recovered.
DRAIN_S = 120


class Plan(NamedTuple):
    """Parameters of a schedule.

    The faults are chosen with equal probability. ``concurrent_changes`` lets
    the operator propose several membership changes at the same time.
    ``keep_identity`` keeps the member id when a disk is wiped.
    """

    faults: tuple[str, ...] = (
        'partition',
        'isolate_leader',
        'cut_from_leaders',
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
    inbox_delays_s: tuple[float, ...] = (0, 0.01, 0.1)
    cfg: CoreConfig = CoreConfig(
        heartbeat_s=0.1,
        election_timeout_s=0.5,
        clock_drift=0.1,
        max_batch=4,
        max_in_flight=3,
        snapshot_retry_s=1,
    )
    concurrent_changes: bool = False
    keep_identity: bool = False


@dataclass
class SearchStats:
    """Totals over the schedules of a search."""

    schedules: int = 0
    steps: int = 0
    committed: int = 0
    reads: int = 0
    terms: int = 0


class Schedule:
    """One seeded run; raises ``Violation`` if a safety property is violated."""

    def __init__(self, seed: int, plan: Plan) -> None:
        """Create the group with random network, disk and inbox delays."""
        self.plan = plan
        world = World(seed, plan.cfg, 0)
        self.rng = world.rng
        voters = self.rng.choice(plan.voters)
        self.world = World(self.rng.randrange(1 << 30), plan.cfg, voters)
        self.world.loss = self.rng.choice(plan.losses)
        self.world.duplication = self.rng.choice([0, 0.1])
        self.world.inbox_delay_s = self.rng.choice(plan.inbox_delays_s)
        self.world.delay = (0.001, self.rng.choice(plan.delays_s))
        self.world.sync_delay = (0.001, self.rng.choice(plan.syncs_s))
        # The latest committed members observed so far: those processes that
        # have committed more may be down at the next observation.
        self.observed_index = 0
        self.observed_members = self.world.vms[0].disk.founders
        self.committed_before = 0
        self.numbers = iter(range(1, 1 << 30))
        # Member ids to be removed, and VMs to be added, by the operator.
        self.leaving: set[str] = set()
        self.joining: dict[str, SimulatedVm] = {}

    def run(self) -> World:
        """Run with faults, then without, and check that the group recovers."""
        world = self.world
        self._repeat(self.plan.client_every_s, self._run_client)
        self._repeat(0.15, self._run_operator)
        self._repeat(self.plan.fault_every_s, self._inject_fault)
        world.run_until(self.plan.duration_s)
        self._heal_all()
        self.committed_before = max(world.checker.committed, default=0)
        world.run_until(self.plan.duration_s + HEAL_S)
        for _ in range(DRAIN_S):
            world.run_until(world.now + 1)
            missing = self._describe_missing()
            if not missing:
                return world
        raise Violation(f'no recovery after the faults ended: {missing}')

    def _repeat(self, every_s: float, call: Callable[[], None]) -> None:
        def again() -> None:
            call()
            self.world.call_later(self.rng.uniform(0, 2 * every_s), again)

        self.world.call_later(every_s, again)

    def _run_client(self) -> None:
        if self.world.now > self.plan.duration_s + HEAL_S:
            return
        leaders = self.world.leaders()
        vm = self.rng.choice(leaders or self.world.vms)
        for _ in range(self.rng.choice([1, 1, 3])):
            self.world.propose(vm)
        for reader in leaders:
            self.world.read(reader)

    def _inject_fault(self) -> None:
        if self.world.now < self.plan.duration_s:
            getattr(self, f'_{self.rng.choice(self.plan.faults)}')()

    def _partition(self) -> None:
        names = [vm.name for vm in self.world.vms]
        side = set(self.rng.sample(names, self.rng.randint(0, len(names))))
        self._cut_off(side)

    def _isolate_leader(self) -> None:
        leaders = self.world.leaders()
        if leaders:
            self._cut_off({self.rng.choice(leaders).name})

    def _cut_from_leaders(self) -> None:
        """Cut one member off from the leaders; others stay connected."""
        isolated = self.rng.choice(self.world.vms).name
        leading = {vm.name for vm in self.world.leaders()}
        self.world.is_cut = lambda source, target: (
            (target == isolated and source in leading)
            or (source == isolated and target in leading)
        )

    def _cut_off(self, side: set[str]) -> None:
        one_way = self.rng.choice((True, False, False, False))
        self.world.is_cut = lambda source, target: (
            (source in side) > (target in side)
            if one_way
            else (source in side) != (target in side)
        )

    def _heal(self) -> None:
        self.world.is_cut = lambda source, target: False

    def _crash(self) -> None:
        self._crash_one(self.world.vms)

    def _crash_leader(self) -> None:
        self._crash_one(self.world.leaders())

    def _crash_all(self) -> None:
        for vm in tuple(self.world.vms):
            self._crash_one([vm])

    def _crash_others(self) -> None:
        """Crash all members but a leader, which may hold its lease."""
        for vm in tuple(self.world.vms):
            if vm not in self.world.leaders():
                self._crash_one([vm])

    def _crash_one(self, vms: list[SimulatedVm]) -> None:
        if vms:
            vm = self.rng.choice(vms)
            self.world.crash(vm)
            down = self.rng.uniform(0, self.plan.down_s)
            self.world.call_later(down, lambda: self._start(vm))

    def _start(self, vm: SimulatedVm) -> None:
        if vm.core is None:
            self.world.start(vm)

    def _pause(self) -> None:
        vm = self.rng.choice(self.world.vms)
        vm.paused_until = self.world.now + self.rng.uniform(0, 2)

    def _stall_disk(self) -> None:
        """Let no write of one VM complete for up to 3 s."""
        vm = self.rng.choice(self.world.leaders() or self.world.vms)
        stalled_until = self.world.now + self.rng.uniform(0, 3)
        vm.sync_done_at = max(vm.sync_done_at, stalled_until)

    def _wipe(self) -> None:
        """Wipe a disk, unless another member is still being replaced."""
        vm = self.rng.choice(self.world.vms)
        repairing = self.leaving or self.joining
        if repairing or len(self._members().voters) < 3:
            return
        self.world.crash(vm)
        if self.plan.keep_identity:
            vm.disk = Disk(vm.disk.founders)
        else:
            self._assign_new_identity(vm)
        self._start(vm)

    def _assign_new_identity(self, vm: SimulatedVm) -> None:
        old = vm.member
        if find_member(self._members(), old.member_id):
            self.leaving.add(old.member_id)
            self.joining[vm.name] = vm
        number = next(self.numbers)
        vm.member = Member(f'{vm.name}-{number}', vm.name, '')
        vm.disk = Disk(Members())

    def _snapshot(self) -> None:
        self.world.take_snapshot(self.rng.choice(self.world.vms))

    def _hand_over(self) -> None:
        for vm in self.world.leaders():
            self.world.feed(vm, evt.HandOver())

    def _grow(self) -> None:
        idle = self.plan.concurrent_changes or not self.joining
        if len(self.world.vms) < 7 and idle:
            name = f'h{len(self.world.vms)}'
            member = Member(f'{name}-0', name, '')
            self.joining[name] = self.world.add_vm(member, Members())

    def _shrink(self) -> None:
        voters = voter_ids(self._members())
        idle = self.plan.concurrent_changes or not self.leaving
        if len(voters) - len(self.leaving) > 3 and idle:
            self.leaving.add(self.rng.choice(voters))

    def _members(self) -> Members:
        """Return the latest committed members observed on any process."""
        for vm in self.world.vms:
            if vm.core is not None:
                index = vm.core.status().commit_index
                if index > self.observed_index:
                    self.observed_index = index
                    self.observed_members = vm.core.members_at(index)
        return self.observed_members

    def _run_operator(self) -> None:
        """Propose the changes that lead to the required members.

        Only one at a time, unless the plan has concurrent changes.
        """
        for vm in self.world.leaders():
            changes = self._required_changes(vm.core.status().members)
            self.rng.shuffle(changes)
            for change in (
                changes if self.plan.concurrent_changes else changes[:1]
            ):
                proposal_id = f'm{next(self.numbers)}'
                event = evt.MembersProposed(proposal_id, change)
                self.world.feed(vm, event)
        self._discard_completed(self._members())

    def _required_changes(self, members: Members) -> list[evt.MembersChange]:
        changes: list[evt.MembersChange] = []
        for vm in self.joining.values():
            member_id = vm.member.member_id
            if find_member(members, member_id) is None:
                changes.append(evt.AddLearner(vm.member))
            else:
                changes.append(evt.PromoteLearner(member_id))
        changes += [evt.RemoveMember(one) for one in sorted(self.leaving)]
        return changes

    def _discard_completed(self, members: Members) -> None:
        voters = voter_ids(members)
        for name, vm in tuple(self.joining.items()):
            if vm.member.member_id in voters:
                self.joining.pop(name)
        for member_id in tuple(self.leaving):
            if find_member(members, member_id) is None:
                self.leaving.discard(member_id)

    def _heal_all(self) -> None:
        self._heal()
        self.world.loss = 0
        self.world.delay = (0.001, 0.005)
        for vm in self.world.vms:
            vm.paused_until = 0
            self._start(vm)

    def _describe_missing(self) -> str:
        """Return what a healed group lacks; empty once it has recovered."""
        leaders = self.world.leaders()
        if len(leaders) != 1:
            return f'{len(leaders)} leaders'
        leader = leaders[0].core.status()
        if leader.commit_index <= self.committed_before:
            return 'nothing committed'
        behind = [
            vm.name
            for vm in self.world.vms
            if find_member(leader.members, vm.member.member_id)
            and vm.applied < leader.commit_index
        ]
        return f'{behind} behind' if behind else ''


def search(seeds: range, plans: tuple[Plan, ...]) -> SearchStats:
    """Run a schedule for each seed, with the plans in turn.

    The error names the first seed that fails.
    """
    stats = SearchStats()
    for seed in seeds:
        try:
            world = Schedule(seed, plans[seed % len(plans)]).run()
        except Exception as exc:
            raise Violation(f'seed {seed}: {exc!r}') from exc
        stats.schedules += 1
        stats.steps += world.steps
        stats.committed += len(world.checker.committed)
        stats.reads += world.checker.reads_checked
        stats.terms += len(world.checker.leaders)
    return stats
