"""What a router knows of one upstream, from reports and from its own work."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from snipebend.routing.concurrency import AdaptiveLimit
from snipebend.routing.outstanding import OutstandingCount

if TYPE_CHECKING:
    from snipebend.fleet.model import UpstreamPolicy
    from snipebend.routing.views import UpstreamView

#: The share of its limit that a new upstream starts with.
SLOW_START_FLOOR = 0.1
#: Above this use of the KV cache, an engine soon preempts what it runs.
KV_PRESSURE = 0.9
#: Utilisation that a full KV cache adds.
KV_PENALTY = 1.0
#: Latencies taken in before an upstream can be called a straggler.
LEAST_SAMPLES = 8
#: Weight of one more latency in the mean.
LATENCY_WEIGHT = 0.2


@dataclass(slots=True)
class UpstreamState:
    """One incarnation of an upstream.

    ``others`` are the requests of other entries in the last report: all that
    it counted less what this entry had outstanding at that moment.
    """

    view: UpstreamView
    policy: UpstreamPolicy
    limit: AdaptiveLimit
    own: OutstandingCount = field(default_factory=OutstandingCount)
    others: int = 0
    latency_s: float = 0
    samples: int = 0
    ramp_from: float = 0

    @property
    def load(self) -> int:
        """Return the requests thought to be there now."""
        return self.others + self.own.current

    def take_report(self, view: UpstreamView) -> None:
        """Take a newer view of the same incarnation in."""
        self.view = view
        report = view.load
        reported = report.running + report.queued
        self.others = max(0, reported - self.own.at(report.taken_at))

    def ramp(self, now: float) -> float:
        """Return the share of the limit that the slow start allows."""
        span = self.policy.slow_start_s
        if span <= 0 or now >= self.ramp_from + span:
            return 1
        return max(SLOW_START_FLOOR, (now - self.ramp_from) / span)

    def utilisation(self, now: float) -> float:
        """Return the load with one more request, over what it takes well."""
        taken = (self.load + 1) / (self.limit.limit * self.ramp(now))
        kv_use = self.view.load.kv_use
        if kv_use > KV_PRESSURE:
            taken += KV_PENALTY * (kv_use - KV_PRESSURE) / (1 - KV_PRESSURE)
        return taken

    def note_latency(self, latency_s: float) -> None:
        """Take the latency of an attempt served in."""
        self.limit.observe(latency_s, self.load)
        self.samples += 1
        weight = LATENCY_WEIGHT if self.samples > 1 else 1
        self.latency_s += weight * (latency_s - self.latency_s)

    def restart_ramp(self, now: float) -> None:
        """Begin the slow start again, after an ejection."""
        self.ramp_from = now
        self.samples = 0


def open_upstream(view: UpstreamView, policy: UpstreamPolicy) -> UpstreamState:
    """Make the state of a new incarnation."""
    state = UpstreamState(
        view,
        policy,
        AdaptiveLimit(policy.max_concurrency),
        ramp_from=view.joined_at,
    )
    state.take_report(view)
    return state
