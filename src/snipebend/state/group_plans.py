"""The decided expert map of each group of engines; performs no I/O.

The coordinator of a group's switch uses only plans that are committed here.
Two coordinators, one of which does not know yet that it was replaced, therefore
switch the group to the same map.
"""

from __future__ import annotations

from msgspec import Struct

from snipebend.experts.layer_state import LayerMap


class GroupPlan(Struct, frozen=True):
    """An expert map that a group must switch to; versions are never reused.

    ``epoch`` identifies the formation of the group for which the plan was made:
    a group that has formed again has dropped the plan.
    """

    group: str = ''
    epoch: int = 0
    version: int = 0
    layers: tuple[LayerMap, ...] = ()


class PlanRequest(Struct, frozen=True):
    """Requests a plan; valid only if ``after`` is still the latest version."""

    plan: GroupPlan
    after: int


class PlanReply(Struct, frozen=True):
    """Whether the plan was accepted, and the plan in force."""

    accepted: bool
    plan: GroupPlan


class PlanState(Struct):
    """The latest plan of each group."""

    plans: dict[str, GroupPlan] = {}

    @property
    def next_version(self) -> int:
        """Return a version above those of all groups.

        A rank rejects versions up to the highest one that it has had, possibly
        in another group. When each group had its own numbers, a group with such
        a rank kept its first map for as many plans as its numbers were behind.
        """
        return 1 + max((one.version for one in self.plans.values()), default=0)

    def latest(self, group: str) -> GroupPlan:
        """Return a group's plan; version 0 if there is none."""
        return self.plans.get(group, GroupPlan(group))

    def decide(self, req: PlanRequest) -> PlanReply:
        """Accept the plan if it is based on the latest one.

        A resend of the latest plan is accepted again.
        """
        latest = self.latest(req.plan.group)
        if latest == req.plan:
            return PlanReply(accepted=True, plan=latest)
        if latest.version != req.after or req.plan.version <= req.after:
            return PlanReply(accepted=False, plan=latest)
        self.plans[req.plan.group] = req.plan
        return PlanReply(accepted=True, plan=req.plan)
