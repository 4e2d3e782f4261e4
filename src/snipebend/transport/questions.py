"""The questions to the core that aren't answered yet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from result import Err, Ok

from snipebend.consensus.actions import ProposalRejected, ReadRejected
from snipebend.errors.hierarchy import UnavailableError

if TYPE_CHECKING:
    from asyncio import Future

    from snipebend.consensus.records import Member
    from snipebend.transport.letters import Answer, Ask

_PROPOSE = 'propose'
_READ = 'read'


class _WaitingRead(NamedTuple):
    needed: int
    answer: Future[Answer]


class Questions:
    """Futures by the name under which the core answers."""

    def __init__(self) -> None:
        """Start with none."""
        self._asked: dict[str, Future[Answer]] = {}
        self._reads: list[_WaitingRead] = []

    def __len__(self) -> int:
        """Return how many questions wait."""
        return len(self._asked) + len(self._reads)

    def add(self, ask: Ask) -> None:
        """Keep a question."""
        self._asked[ask.key] = ask.answer

    def answer(self, key: str, reply: Any) -> None:
        """Answer a proposal that is committed and executed."""
        fut = self._asked.pop(key, None)
        if fut is not None and not fut.done():
            fut.set_result(Ok(reply))

    def reject(self, action: ProposalRejected | ReadRejected) -> None:
        """Answer that this member can't serve, and who may."""
        hint = _address(action.leader_hint)
        match action:
            case ProposalRejected(proposal_id, _, reason):
                error = UnavailableError(reason, step=_PROPOSE, peer=hint)
                self._fail(proposal_id, error)
            case ReadRejected(read_id):
                error = UnavailableError('no leader', step=_READ, peer=hint)
                self._fail(read_id, error)

    def read_ready(self, read_id: str, index: int) -> None:
        """Let a read wait until its index is executed."""
        fut = self._asked.pop(read_id, None)
        if fut is not None:
            self._reads.append(_WaitingRead(index, fut))

    async def wait(self, index: int, executed: int, timeout: float) -> Answer:
        """Wait until ``index`` is executed; ``executed`` is already."""
        if index <= executed:
            return Ok(index)
        fut: Future[Answer] = asyncio.get_running_loop().create_future()
        self._reads.append(_WaitingRead(index, fut))
        try:
            async with asyncio.timeout(timeout):
                return await fut
        except TimeoutError:
            return Err(UnavailableError('behind the leader', step=_READ))

    def executed(self, index: int) -> None:
        """Answer the reads that need no more than this index."""
        waiting: list[_WaitingRead] = []
        for read in self._reads:
            if read.needed > index:
                waiting.append(read)
            elif not read.answer.done():
                read.answer.set_result(Ok(read.needed))
        self._reads = waiting

    def fail_all(self, reason: str) -> None:
        """Answer everything with an error: this member is out of service."""
        for key in tuple(self._asked):
            self._fail(key, UnavailableError(reason, step=_PROPOSE))
        for read in self._reads:
            if not read.answer.done():
                error = UnavailableError(reason, step=_READ)
                read.answer.set_result(Err(error))
        self._reads = []

    def _fail(self, key: str, error: UnavailableError) -> None:
        fut = self._asked.pop(key, None)
        if fut is not None and not fut.done():
            fut.set_result(Err(error))


def _address(member: Member | None) -> str:
    return member.address if member else ''
