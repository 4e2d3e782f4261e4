"""Reports a group's map switches in logs, metrics and its status."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from snipebend.telemetry.metrics import get_meter

if TYPE_CHECKING:
    from snipebend.experts.switch_events import SwitchEnded
    from snipebend.experts.switch_messages import GroupRecord
    from snipebend.transport.map_planning import Plan


class SwitchLog:
    """The last decision and its reason, the skew and the bytes moved."""

    def __init__(self, group: str) -> None:
        """Create the log of a group without a decision."""
        self.skew: float = 0
        self.moved_bytes = 0
        self.last_decision = 'none'
        self.reason = ''
        self._proposed: dict[str, int] = {}
        self._attributes = {'group': group}
        meter = get_meter()
        self._switches = meter.create_counter('expert_map_switches')
        self._bytes = meter.create_counter('expert_map_moved_bytes')
        self._skew = meter.create_gauge('expert_map_skew')

    def record_plan(self, plan: Plan) -> None:
        """Record the planner's reason and the skew."""
        self.reason = plan.reason
        if plan.skew:
            self.skew = plan.skew
            self._skew.set(plan.skew, self._attributes)

    def record_proposal(self, digest: str, size: int) -> None:
        """Record the bytes that a proposed map would move."""
        self._proposed = {digest: size}

    def record_end(self, ended: SwitchEnded, record: GroupRecord) -> None:
        """Record the outcome of a switch."""
        stamp = ended.stamp
        self.last_decision = ended.outcome
        self._switches.add(
            1,
            {**self._attributes, 'outcome': ended.outcome},
        )
        if ended.outcome == 'activated' and record.decision is not None:
            moved = self._proposed.pop(record.decision.digest, 0)
            self.moved_bytes += moved
            self._bytes.add(moved, self._attributes)
        logger.info(
            'event=switch_ended group={} incarnation={} version={} outcome={} '
            + 'reason={!r}',
            self._attributes['group'],
            stamp.incarnation,
            stamp.map_version,
            ended.outcome,
            self.reason,
        )
