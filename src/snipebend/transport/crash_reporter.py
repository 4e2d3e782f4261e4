"""Reports which attempts were running when an agent's upstream crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from snipebend.delivery.attempt_records import AttemptId
from snipebend.kernel.service import Service
from snipebend.state.crashes import CrashReport
from snipebend.transport.control_calls import ControlCalls

if TYPE_CHECKING:
    from collections.abc import Iterable

    from snipebend.delivery.messages import AttemptTicket
    from snipebend.kernel.registry import Registry

_MS_PER_S = 1000


class RunningAttempt(NamedTuple):
    """What of a running attempt may crash its upstream."""

    fingerprint: str
    #: The keys of its prompt's parts.
    part_keys: tuple[str, ...]
    #: Wall milliseconds.
    began_ms: int


class CrashReporter(Service):
    """Reports each upstream crash once, with all attempts running there."""

    def __init__(self, name: str, upstream: str) -> None:
        """Initialize without attempts; ``upstream`` is the agent's name."""
        super().__init__(name)
        self._upstream = upstream
        self._running: dict[AttemptId, RunningAttempt] = {}
        self._reported: dict[AttemptId, bool] = {}

    async def start(self, registry: Registry) -> None:
        """Look up the client of the control daemons."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        self._control = registry.find('control-calls', ControlCalls)

    def begin(
        self, ticket: AttemptTicket, fingerprint: str, part_keys: Iterable[str]
    ) -> None:
        """Record the start of an attempt."""
        self._running[_identify(ticket)] = RunningAttempt(
            fingerprint, tuple(part_keys), self._wall_ms()
        )

    def record_crash(self, ticket: AttemptTicket) -> bool:
        """Report the crash if this attempt is the first to detect it.

        Return whether no other attempt was running when the upstream crashed.
        """
        attempt = _identify(ticket)
        if attempt not in self._reported:
            alone = len(self._running) == 1
            self._reported.update(dict.fromkeys(self._running, alone))
            self._report(alone=alone)
        return self._reported[attempt]

    def end(self, ticket: AttemptTicket) -> None:
        """Record the end of an attempt."""
        attempt = _identify(ticket)
        self._running.pop(attempt, None)
        self._reported.pop(attempt, None)

    def _wall_ms(self) -> int:
        return int(self._clock.wall() * _MS_PER_S)

    def _report(self, *, alone: bool) -> None:
        running = {one.fingerprint: one for one in self._running.values()}
        report = CrashReport(
            self._upstream,
            self._wall_ms(),
            tuple(sorted(running)),
            ran_alone=alone,
            parts={
                fingerprint: one.part_keys
                for fingerprint, one in running.items()
                if one.part_keys
            },
            began_ms={
                fingerprint: one.began_ms
                for fingerprint, one in running.items()
                if one.part_keys
            },
        )
        self._tasks.once('report-crash', lambda: self._send(report))

    async def _send(self, report: CrashReport) -> None:
        reported = await self._control.report_crash(report)
        logger.warning(
            'event=upstream_died peer={} running={} told={}',
            self._upstream,
            len(report.fingerprints),
            reported.is_ok(),
        )


def _identify(ticket: AttemptTicket) -> AttemptId:
    return AttemptId(ticket.request_id, ticket.attempt)
