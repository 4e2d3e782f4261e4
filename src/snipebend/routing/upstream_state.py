"""State of one upstream: its load reports and this entry's own attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from typing import TYPE_CHECKING, NamedTuple

from snipebend.routing.concurrency import AdaptiveLimit
from snipebend.routing.outstanding import OutstandingCount

if TYPE_CHECKING:
    from snipebend.fleet.model import UpstreamPolicy
    from snipebend.routing.views import UpstreamView

#: Share of its concurrency limit that a new upstream starts with.
SLOW_START_FLOOR = 0.1
#: Above this KV cache use, an engine soon preempts running requests.
KV_PRESSURE_THRESHOLD = 0.9
#: Utilisation added for a full KV cache.
KV_PENALTY = 1.0
#: How strongly other entries are assumed to favour the same upstreams as this
#: entry (0: not at all, 1: equally).
HERDING_SHARE = 0.25
#: Latency samples required before an upstream can be ejected as a straggler.
MIN_LATENCY_SAMPLES = 8
#: Weight of a new sample in the moving average of latencies.
LATENCY_WEIGHT = 0.2


class MeanLoad(NamedTuple):
    """Mean load per upstream of a pool.

    ``outstanding`` counts this entry's requests, ``reported_others`` the
    remaining requests in the load reports. ``report_decay_s`` is the time
    constant with which a report loses its information on how the upstreams
    differ.
    """

    outstanding: float
    reported_others: float
    report_decay_s: float


@dataclass(slots=True)
class UpstreamState:
    """One incarnation of an upstream.

    ``outstanding`` counts this entry's attempts, and ``own_at_report`` those
    running when the last load report was taken. ``reported_others`` is the
    remainder of the reported load, and ``estimated_others`` its estimated
    current value, given the age of the report. ``herding`` is the extra load
    expected from other entries per request of this entry above its mean.
    """

    view: UpstreamView
    policy: UpstreamPolicy
    limit: AdaptiveLimit
    outstanding: OutstandingCount = field(default_factory=OutstandingCount)
    own_at_report: int = 0
    reported_others: int = 0
    estimated_others: float = 0
    herding: float = 0
    mean_outstanding: float = 0
    latency_s: float = 0
    samples: int = 0
    slow_start_at: float = 0

    @property
    def load(self) -> float:
        """Return the estimated number of requests at the upstream."""
        own = self.outstanding.current
        return max(
            own,
            self.estimated_others
            + own
            + self.herding * (own - self.mean_outstanding),
        )

    def apply_report(self, view: UpstreamView) -> None:
        """Apply a newer view of the same incarnation."""
        self.view = view
        report = view.load
        reported = report.running + report.queued
        self.own_at_report = self.outstanding.at(report.taken_at)
        self.reported_others = max(0, reported - self.own_at_report)
        self.estimated_others = self.reported_others

    def discount_report(
        self, mean: MeanLoad, entries: int, moment: float
    ) -> None:
        """Move the estimate towards the pool's mean as the report ages.

        Once the mean holding time of requests has passed, the reported
        requests have been replaced by others (compare Dahlin, Interpreting
        stale load information, 1999). The best estimate is then that the other
        entries, which receive the same reports and prefixes, favour the same
        upstreams as this entry.
        """
        age = max(0, moment - self.view.load.taken_at)
        report_weight = exp(-age / mean.report_decay_s)
        difference = self.reported_others - mean.reported_others
        self.estimated_others = (
            mean.reported_others + difference * report_weight
        )
        self.herding = HERDING_SHARE * (entries - 1) * (1 - report_weight)
        self.mean_outstanding = mean.outstanding

    def slow_start_share(self, now: float) -> float:
        """Return the share of the limit that slow start allows at ``now``."""
        span = self.policy.slow_start_s
        if span <= 0 or now >= self.slow_start_at + span:
            return 1
        return max(SLOW_START_FLOOR, (now - self.slow_start_at) / span)

    def utilisation(self, now: float) -> float:
        """Return the load including one more request, relative to the limit.

        Use of the KV cache above the threshold adds a penalty.
        """
        utilisation = (self.load + 1) / (
            self.limit.limit * self.slow_start_share(now)
        )
        kv_use = self.view.load.kv_use
        if kv_use > KV_PRESSURE_THRESHOLD:
            utilisation += (
                KV_PENALTY
                * (kv_use - KV_PRESSURE_THRESHOLD)
                / (1 - KV_PRESSURE_THRESHOLD)
            )
        return utilisation

    def record_latency(self, latency_s: float) -> None:
        """Record the latency of a served attempt."""
        self.limit.observe(latency_s, self.load)
        self.samples += 1
        weight = LATENCY_WEIGHT if self.samples > 1 else 1
        self.latency_s += weight * (latency_s - self.latency_s)

    def restart_slow_start(self, now: float) -> None:
        """Restart slow start after an ejection."""
        self.slow_start_at = now
        self.samples = 0


def create_upstream_state(
    view: UpstreamView, policy: UpstreamPolicy
) -> UpstreamState:
    """Create the state of a new incarnation."""
    state = UpstreamState(
        view,
        policy,
        AdaptiveLimit(policy.max_concurrency),
        slow_start_at=view.joined_at,
    )
    state.apply_report(view)
    return state
