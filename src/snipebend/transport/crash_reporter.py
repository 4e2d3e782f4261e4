"""Reports which attempts were running when an agent's upstream crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from snipebend.kernel.service import Service
from snipebend.state.crashes import CrashReport
from snipebend.transport.control_calls import ControlCalls

if TYPE_CHECKING:
    from snipebend.delivery.messages import AttemptTicket
    from snipebend.kernel.registry import Registry

_MS_PER_S = 1000


class _RunningAttempt(NamedTuple):
    request_id: str
    attempt: int
    fingerprint: str


class CrashReporter(Service):
    """Reports each upstream crash once, with all attempts running there."""

    def __init__(self, name: str, upstream: str) -> None:
        """Initialize without attempts; ``upstream`` is the agent's name."""
        super().__init__(name)
        self._upstream = upstream
        self._running: set[_RunningAttempt] = set()
        self._reported: dict[_RunningAttempt, bool] = {}

    async def start(self, registry: Registry) -> None:
        """Look up the client of the control daemons."""
        self._clock = registry.clock
        self._tasks = registry.tasks
        self._control = registry.find('control-calls', ControlCalls)

    def begin(self, ticket: AttemptTicket, fingerprint: str) -> None:
        """Record the start of an attempt."""
        self._running.add(_identify(ticket, fingerprint))

    def record_crash(self, ticket: AttemptTicket, fingerprint: str) -> bool:
        """Report the crash if this attempt is the first to detect it.

        Return whether no other attempt was running when the upstream crashed.
        """
        attempt = _identify(ticket, fingerprint)
        if attempt not in self._reported:
            alone = len(self._running) == 1
            self._reported.update(dict.fromkeys(self._running, alone))
            self._report(alone=alone)
        return self._reported[attempt]

    def end(self, ticket: AttemptTicket, fingerprint: str) -> None:
        """Record the end of an attempt."""
        attempt = _identify(ticket, fingerprint)
        self._running.discard(attempt)
        self._reported.pop(attempt, None)

    def _report(self, *, alone: bool) -> None:
        fingerprints = {one.fingerprint for one in self._running}
        report = CrashReport(
            self._upstream,
            int(self._clock.wall() * _MS_PER_S),
            tuple(sorted(fingerprints)),
            ran_alone=alone,
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


def _identify(ticket: AttemptTicket, fingerprint: str) -> _RunningAttempt:
    return _RunningAttempt(ticket.request_id, ticket.attempt, fingerprint)
