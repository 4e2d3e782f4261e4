"""What a router knows of one upstream, from reports and from its own work."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp
from typing import TYPE_CHECKING, NamedTuple

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
#: How much the other entries are thought to lean as this one does.
ECHO_SHARE = 0.25
#: Latencies taken in before an upstream can be called a straggler.
LEAST_SAMPLES = 8
#: Weight of one more latency in the mean.
LATENCY_WEIGHT = 0.2


class UsualLoad(NamedTuple):
    """Means over the upstreams of a pool.

    ``memory_s`` is the time after which a report says nothing any more of
    the differences between them.
    """

    own: float
    others: float
    memory_s: float


@dataclass(slots=True)
class UpstreamState:
    """One incarnation of an upstream.

    ``own_then`` is this entry's own work when the last report was taken,
    ``reported_others`` the rest of what it counted, and ``others`` what that
    still says now.
    """

    view: UpstreamView
    policy: UpstreamPolicy
    limit: AdaptiveLimit
    own: OutstandingCount = field(default_factory=OutstandingCount)
    own_then: int = 0
    reported_others: int = 0
    others: float = 0
    echo: float = 0
    own_mean: float = 0
    latency_s: float = 0
    samples: int = 0
    ramp_from: float = 0

    @property
    def load(self) -> float:
        """Return the requests thought to be there now."""
        own = self.own.current
        return max(own, self.others + own + self.echo * (own - self.own_mean))

    def take_report(self, view: UpstreamView) -> None:
        """Take a newer view of the same incarnation in."""
        self.view = view
        report = view.load
        reported = report.running + report.queued
        self.own_then = self.own.at(report.taken_at)
        self.reported_others = max(0, reported - self.own_then)
        self.others = self.reported_others

    def discount(self, usual: UsualLoad, entries: int, at: float) -> None:
        """Trust an old report less: what it says fades.

        After the time for which requests are held, the others' work there is
        other work (compare Dahlin, Interpreting stale load information, 1999).
        The best guess is then that the other entries, who see the same
        reports and prefixes, lean as this one does.
        """
        age = max(0, at - self.view.load.taken_at)
        trust = exp(-age / usual.memory_s)
        difference = self.reported_others - usual.others
        self.others = usual.others + difference * trust
        self.echo = ECHO_SHARE * (entries - 1) * (1 - trust)
        self.own_mean = usual.own

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
