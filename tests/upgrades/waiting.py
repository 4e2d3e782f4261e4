"""Waiting for a condition until a deadline."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, TypeVar

from grpclib.exceptions import GRPCError, StreamTerminatedError

from tests.programs import WAIT_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

Found = TypeVar('Found')

POLL_S = 0.05

#: What a call to a daemon raises that is starting, ending or not led.
CALL_FAILURES = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


async def until(what: str, look: Callable[[], Awaitable[Found]]) -> Found:
    """Look again and again until the answer is true; return it."""
    last: object = None
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            found = await look()
        except CALL_FAILURES as exc:
            last = exc
        else:
            if found:
                return found
            last = found
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f'{what}: not in time, last {last!r}')


async def all_of(starting: Iterable[Awaitable[None]]) -> None:
    """Wait until all have started or failed; raise the first failure."""
    ended = await asyncio.gather(*starting, return_exceptions=True)
    for end in ended:
        if end is not None:
            raise end
