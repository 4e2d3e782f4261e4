"""Waits until a revision is in force everywhere, for ``apply --wait``."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from snipebend.console.connection import call_each
from snipebend.state.messages import ShowReply, ShowRequest
from snipebend.transport.methods import SHOW

#: Seconds between two looks.
LOOK_EVERY_S = 0.1

#: Seconds for one daemon's answer.
LOOK_TIMEOUT_S = 1.0


class InForce(NamedTuple):
    """Who has a revision in force, as all reachable daemons know it.

    ``behind`` holds the processes that may still work on an older revision,
    with the one they have; ``lapsed`` those that fell silent, so that their
    lease is over; ``complete`` tells whether any daemon that answered has been
    up for long enough to have heard all others.
    """

    processes: int
    behind: dict[str, int]
    lapsed: tuple[str, ...]
    unreachable: tuple[str, ...]
    complete: bool

    @property
    def everywhere(self) -> bool:
        """Tell whether nobody may work on an older revision."""
        return self.complete and not self.behind


async def wait_in_force(
    addresses: list[str], revision: int, deadline: float
) -> InForce:
    """Look until the revision is in force or until monotonic time's up."""
    while True:
        shown = await call_each(
            addresses, SHOW, ShowRequest(), timeout=LOOK_TIMEOUT_S
        )
        found = judge(shown, revision)
        if found.everywhere or time.monotonic() >= deadline:
            return found
        await asyncio.sleep(LOOK_EVERY_S)


def judge(shown: dict[str, ShowReply | None], revision: int) -> InForce:
    """Join what the daemons say; ``None`` stands for no answer."""
    replies = [reply for reply in shown.values() if reply is not None]
    newest: dict[str, int] = {}
    lapsed: set[str] = set()
    for one in replies:
        lapsed.update(one.lapsed)
        for process, confirmed in one.confirmed.items():
            newest[process] = max(confirmed, newest.get(process, 0))
    return InForce(
        len(newest),
        {name: known for name, known in newest.items() if known < revision},
        tuple(sorted(lapsed - newest.keys())),
        tuple(peer for peer, reply in shown.items() if reply is None),
        any(reply.complete for reply in replies),
    )
