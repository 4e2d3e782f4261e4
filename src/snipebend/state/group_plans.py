"""The decided expert map of each group of engines (pure).

Whoever coordinates a group's switch works from what is committed here, so that
two coordinators, one of which doesn't know that it was replaced, drive the
group to the same map.
"""

from __future__ import annotations

from msgspec import Struct

from snipebend.experts.layer_state import LayerMap


class GroupPlan(Struct, frozen=True):
    """A map that a group shall switch to; versions are never used twice.

    ``epoch`` is the group's life that the plan was made for: a group that
    formed anew has dropped it.
    """

    group: str = ''
    epoch: int = 0
    version: int = 0
    layers: tuple[LayerMap, ...] = ()


class PlanRequest(Struct, frozen=True):
    """Decide on a plan, if nobody decided since version ``after``."""

    plan: GroupPlan
    after: int


class PlanReply(Struct, frozen=True):
    """Whether the plan was decided, and the one that holds now."""

    accepted: bool
    plan: GroupPlan


class PlanBook(Struct):
    """The latest plan of each group."""

    plans: dict[str, GroupPlan] = {}

    @property
    def next_version(self) -> int:
        """Return a version above those of all groups.

        A rank refuses versions up to the highest that it has had, and it may
        have had them in another group: numbered group by group, a group with
        such a rank kept its first map for as many plans as it was behind.
        """
        return 1 + max((one.version for one in self.plans.values()), default=0)

    def latest(self, group: str) -> GroupPlan:
        """Return a group's plan; version 0: none was decided."""
        return self.plans.get(group, GroupPlan(group))

    def decide(self, req: PlanRequest) -> PlanReply:
        """Take the plan if it follows the one that its maker knew."""
        latest = self.latest(req.plan.group)
        if latest == req.plan:
            return PlanReply(accepted=True, plan=latest)
        if latest.version != req.after or req.plan.version <= req.after:
            return PlanReply(accepted=False, plan=latest)
        self.plans[req.plan.group] = req.plan
        return PlanReply(accepted=True, plan=req.plan)
