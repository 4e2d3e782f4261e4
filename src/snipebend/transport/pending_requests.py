"""Requests to the Raft core that have not completed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from result import Err, Ok

from snipebend.consensus.actions import ProposalRejected, ReadRejected
from snipebend.errors.hierarchy import UnavailableError

if TYPE_CHECKING:
    from asyncio import Future

    from snipebend.consensus.records import Member
    from snipebend.transport.replica_messages import CoreRequest, RequestOutcome

_PROPOSE = 'propose'
_READ = 'read'


class _WaitingRead(NamedTuple):
    required_index: int
    outcome: Future[RequestOutcome]


class PendingRequests:
    """The futures of requests, by the identifier that the core uses.

    A read first waits for its index, then until that index is applied.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self._futures: dict[str, Future[RequestOutcome]] = {}
        self._waiting_reads: list[_WaitingRead] = []

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._futures) + len(self._waiting_reads)

    def add(self, req: CoreRequest) -> None:
        """Add a request."""
        self._futures[req.key] = req.outcome

    def complete(self, key: str, reply: Any) -> None:
        """Complete a proposal that has been committed and applied."""
        fut = self._futures.pop(key, None)
        if fut is not None and not fut.done():
            fut.set_result(Ok(reply))

    def reject(self, action: ProposalRejected | ReadRejected) -> None:
        """Fail a request that the core rejected, with the leader as a hint."""
        hint = _address(action.leader_hint)
        match action:
            case ProposalRejected(proposal_id, _, reason):
                error = UnavailableError(reason, step=_PROPOSE, peer=hint)
                self._fail(proposal_id, error)
            case ReadRejected(read_id):
                text = f'read {read_id} rejected: this member is not the leader'
                error = UnavailableError(text, step=_READ, peer=hint)
                self._fail(read_id, error)

    def wait_for_index(self, read_id: str, index: int) -> None:
        """Make a read wait until its index is applied."""
        fut = self._futures.pop(read_id, None)
        if fut is not None:
            self._waiting_reads.append(_WaitingRead(index, fut))

    async def wait(
        self, index: int, applied_index: int, timeout: float
    ) -> RequestOutcome:
        """Wait until ``index`` is applied; ``applied_index`` already is."""
        if index <= applied_index:
            return Ok(index)
        fut: Future[RequestOutcome] = asyncio.get_running_loop().create_future()
        self._waiting_reads.append(_WaitingRead(index, fut))
        try:
            async with asyncio.timeout(timeout):
                return await fut
        except TimeoutError:
            return Err(
                UnavailableError(
                    f'index {index} not applied within {timeout:g} s, '
                    + f'applied up to {applied_index} before',
                    step=_READ,
                )
            )

    def complete_reads(self, index: int) -> None:
        """Complete the reads that wait for this or an earlier index."""
        waiting: list[_WaitingRead] = []
        for read in self._waiting_reads:
            if read.required_index > index:
                waiting.append(read)
            elif not read.outcome.done():
                read.outcome.set_result(Ok(read.required_index))
        self._waiting_reads = waiting

    def fail_all(self, reason: str) -> None:
        """Fail all requests, because the replica has stopped."""
        for key in tuple(self._futures):
            self._fail(key, UnavailableError(reason, step=_PROPOSE))
        for read in self._waiting_reads:
            if not read.outcome.done():
                error = UnavailableError(reason, step=_READ)
                read.outcome.set_result(Err(error))
        self._waiting_reads = []

    def _fail(self, key: str, error: UnavailableError) -> None:
        fut = self._futures.pop(key, None)
        if fut is not None and not fut.done():
            fut.set_result(Err(error))


def _address(member: Member | None) -> str:
    return member.address if member else ''
