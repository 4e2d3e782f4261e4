"""Where an entry's requests get their upstream from."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from snipebend.delivery.events import (
    NoUpstream,
    RetryGranted,
    UpstreamChosen,
)
from snipebend.delivery.facts import Target
from snipebend.delivery.messages import RefusalReason
from snipebend.kernel.service import Service
from snipebend.membership.messages import Announcement, Phase
from snipebend.transport.directory_follower import DirectoryFollower

if TYPE_CHECKING:
    from snipebend.kernel.registry import Registry

#: Seconds after which a caller may come back when nobody serves its request.
_RETRY_AFTER_S = 1


class RoutingTicket(NamedTuple):
    """One request as far as the choice of its upstream goes."""

    policies: frozenset[str]


class RoutingDesk(Service):
    """Chooses the upstream with the fewest requests of this entry."""

    def __init__(self, name: str) -> None:
        """Begin with nothing outstanding."""
        super().__init__(name)
        self._outstanding: Counter[str] = Counter()

    async def start(self, registry: Registry) -> None:
        """Find the directory."""
        self._directory = registry.find('directory', DirectoryFollower)

    def dump(self) -> Mapping[str, object]:
        """Return what is outstanding on each upstream."""
        return {'outstanding': dict(+self._outstanding)}

    def choose(
        self,
        ticket: RoutingTicket,
        exclude: frozenset[str],
    ) -> UpstreamChosen | NoUpstream:
        """Choose among those not excluded, if there are any."""
        serving = [
            upstream
            for upstream in self._directory.upstreams()
            if upstream.policy in ticket.policies
            and upstream.phase is Phase.SERVING
        ]
        others = [one for one in serving if one.upstream not in exclude]
        if not serving:
            return NoUpstream(_RETRY_AFTER_S)
        chosen = min(others or serving, key=self._load_of)
        return UpstreamChosen(_to_target(chosen))

    def ask_retry(self) -> RetryGranted:
        """Grant each retry."""
        return RetryGranted()

    def track(
        self,
        ticket: RoutingTicket,
        upstream: str,
        attempt: asyncio.Task[None],
    ) -> None:
        """Count an attempt until its task has ended."""
        self._outstanding[upstream] += 1
        attempt.add_done_callback(
            lambda _: self._outstanding.subtract((upstream,)),
        )

    def note_refusal(
        self,
        upstream: str,
        reason: RefusalReason,
    ) -> None:
        """Learn from an agent's refusal."""

    def _load_of(self, upstream: Announcement) -> int:
        return self._outstanding[upstream.upstream]


def _to_target(upstream: Announcement) -> Target:
    return Target(
        upstream.upstream,
        upstream.incarnation,
        upstream.http_address,
        upstream.grpc_address,
    )
