"""Tracks cold upstreams and the calls to them, and logs their changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from snipebend.relay.call_outcomes import CallOutcome
from snipebend.relay.cold_parts import SETTLED_AFTER_S, Fleet
from snipebend.relay.cold_upstreams import ColdUpstreams
from snipebend.state.warmth import Warmth

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from snipebend.edge.call_result import CallResult
    from snipebend.edge.host_follower import HostFollower
    from snipebend.edge.relay_meters import RelayMeters
    from snipebend.hosts.model import HostTable
    from snipebend.relay.facts import ResponseFacts
    from snipebend.relay.upstreams import Upstream, UpstreamTable
    from snipebend.settings.relay import RelaySection
    from snipebend.state.warmth import WarmthReport


class ColdTracker:
    """The cold upstreams known to one entry."""

    def __init__(
        self,
        cfg: RelaySection,
        upstreams: UpstreamTable,
        now: Callable[[], float],
        meters: RelayMeters,
    ) -> None:
        """Create a tracker that limits nothing before the first document."""
        self.table = ColdUpstreams(cfg.connect_timeout_s)
        self._cfg = cfg.cold
        self._upstreams = upstreams
        self._now = now
        self._meters = meters
        self._document: HostTable | None = None

    def find_limits(self, service: str) -> ColdUpstreams | None:
        """Return the limits of a service's cold upstreams, if it has any."""
        return self.table if service in self.table.limits else None

    def update(self, follower: HostFollower) -> None:
        """Apply the document and the entries that the follower knows."""
        if self._cfg is None:
            return
        now = self._now()
        index = follower.index
        if index is not None and index.table is not self._document:
            self._document = index.table
            self._update_limits(index.table)
        listed_at = follower.entries_listed_at
        self.table.parts.update_fleet(
            Fleet(
                follower.gossip_address,
                follower.fleet.list_names(now),
                follower.known_entries,
                listed_at is not None and now >= listed_at + SETTLED_AFTER_S,
            )
        )

    def apply_reports(
        self, daemon: str, reports: tuple[WarmthReport, ...] | None
    ) -> None:
        """Apply a daemon's reports; None if its earlier ones do not hold."""
        if reports is None:
            removed = self.table.warmth.remove_daemon(daemon)
            if removed:
                logger.info(
                    'event=warmth_forgotten peer={} upstreams={}',
                    daemon,
                    removed,
                )
            return
        self._log_changes(daemon, self.table.warmth.apply(daemon, reports))

    def forget_data_center(self, data_center: str) -> None:
        """Count a data centre's upstreams as cold until they are heard."""
        if self.table.limits:
            self.table.forget_data_center(data_center, self._now())
            logger.info('event=data_center_cold data_center={}', data_center)

    def record_call(self, upstream: Upstream) -> None:
        """Deduct a call that begins."""
        if upstream.record.service not in self.table.limits:
            return
        now = self._now()
        if self.table.is_cold(upstream, now):
            self._meters.count_cold_call(upstream.record.service)
        self.table.record_call(upstream, now)

    def record_result(self, upstream: Upstream, call: CallResult) -> None:
        """Doubt that an upstream is still warm if it has not responded."""
        if call.outcome in {CallOutcome.UNSENT, CallOutcome.UNKNOWN}:
            if call.faulty:
                self._doubt(upstream)

    def record_response(self, upstream: Upstream, facts: ResponseFacts) -> None:
        """Apply what a response states."""
        if facts.identity_mismatch:
            self.table.return_call(upstream, self._now())
        elif facts.cold_s:
            self._doubt(upstream)

    def find_wait(self, service: str) -> float | None:
        """Return seconds until a cold upstream of a service accepts a call.

        None if no upstream is closed for that reason only.
        """
        if service not in self.table.limits:
            return None
        now = self._now()
        return min(
            (
                self.table.seconds_until_room(one, now)
                for one in self._list_limited(service, now)
                if one.group is None or not one.group.is_down(now)
            ),
            default=None,
        )

    def log_diverted_call(
        self, request: str, service: str, selected: Upstream | None
    ) -> None:
        """Log that the limit of a less busy cold upstream diverted a call."""
        now = self._now()
        limited = min(
            self._list_limited(service, now),
            key=lambda one: one.calls / max(1, one.record.slots),
            default=None,
        )
        if limited is None:
            return
        if selected is not None and (
            limited.calls / max(1, limited.record.slots)
            >= selected.calls / max(1, selected.record.slots)
        ):
            return
        self._meters.count_cold_diversion(service)
        logger.debug(
            'event=call_diverted_cold request={} service={} upstream={} to={}',
            request,
            service,
            limited.record.identity,
            '-' if selected is None else selected.record.identity,
        )

    def _doubt(self, upstream: Upstream) -> None:
        record = upstream.record
        if record.service not in self.table.limits:
            return
        if self._upstreams.find(record.identity) is not upstream:
            # It ended while the call was in progress.
            return
        now = self._now()
        was_cold = self.table.is_cold(upstream, now)
        self.table.doubt(upstream.record.identity, now)
        if not was_cold:
            logger.info(
                'event=upstream_doubted upstream={} service={} limit={}',
                upstream.record.identity,
                upstream.record.service,
                self.table.limits[upstream.record.service],
            )

    def _list_limited(self, service: str, now: float) -> Iterable[Upstream]:
        """Yield the open upstreams that accept no call since they are cold."""
        return (
            one
            for one in self._upstreams.list_service(service)
            if one.is_open(now)
            and self.table.is_cold(one, now)
            and not self.table.has_room(one, now)
        )

    def _update_limits(self, document: HostTable) -> None:
        cfg = self._cfg
        assert cfg is not None
        limits = {
            service.name: cfg.requests_per_s(service.cold_per_s)
            for service in document.services
            if service.cold_per_s
        }
        if limits == self.table.limits:
            return
        self.table.update_limits(limits)
        for service, limit in limits.items():
            logger.info('event=cold_limit service={} limit={}', service, limit)

    def _log_changes(self, daemon: str, changes: list[WarmthReport]) -> None:
        limits = self.table.limits
        for change in changes:
            upstream = self._upstreams.find(change.upstream)
            service = '' if upstream is None else upstream.record.service
            if upstream is not None and service not in limits:
                continue
            cold = change.warmth is not Warmth.WARM
            logger.info(
                'event={} upstream={} service={} limit={} heard_by={}',
                'upstream_cold' if cold else 'upstream_warm',
                change.upstream,
                service or '-',
                limits.get(service, '-'),
                daemon,
            )
