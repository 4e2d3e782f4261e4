"""Polls until a revision is in force everywhere, for ``apply --wait``."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from snipebend.console.connection import call_all
from snipebend.state.messages import ShowReply, ShowRequest
from snipebend.transport.methods import SHOW

#: Seconds between two polls of the control daemons.
POLL_INTERVAL_S = 0.1

#: Seconds after which a call to one control daemon times out.
POLL_TIMEOUT_S = 1.0


class InForceStatus(NamedTuple):
    """Which processes have confirmed a revision, by all reachable daemons.

    ``outdated`` maps the processes that may still use an older revision to
    the revision that they confirmed. ``expired`` holds the processes whose
    configuration lease expired because they stopped confirming, and
    ``unreachable`` the control daemons that did not respond. ``is_complete``
    is true if a daemon that responded has been running long enough to have
    received a confirmation from every process.
    """

    process_count: int
    outdated: dict[str, int]
    expired: tuple[str, ...]
    unreachable: tuple[str, ...]
    is_complete: bool

    @property
    def is_everywhere(self) -> bool:
        """Return whether all processes use this revision or a newer one.

        Processes whose configuration lease has expired are not counted.
        """
        return self.is_complete and not self.outdated


async def wait_in_force(
    addresses: list[str], revision: int, deadline: float
) -> InForceStatus:
    """Poll until the revision is in force or the monotonic deadline passes."""
    while True:
        replies = await call_all(
            addresses, SHOW, ShowRequest(), timeout=POLL_TIMEOUT_S
        )
        status = merge_replies(replies, revision)
        if status.is_everywhere or time.monotonic() >= deadline:
            return status
        await asyncio.sleep(POLL_INTERVAL_S)


def merge_replies(
    replies: dict[str, ShowReply | None], revision: int
) -> InForceStatus:
    """Merge the daemons' replies by address; ``None`` means no response."""
    received = [reply for reply in replies.values() if reply is not None]
    newest: dict[str, int] = {}
    expired: set[str] = set()
    for shown in received:
        expired.update(shown.lapsed)
        for process, confirmed in shown.confirmed.items():
            newest[process] = max(confirmed, newest.get(process, 0))
    return InForceStatus(
        len(newest),
        {name: known for name, known in newest.items() if known < revision},
        tuple(sorted(expired - newest.keys())),
        tuple(address for address, reply in replies.items() if reply is None),
        any(reply.complete for reply in received),
    )
