"""How many orders are under way, and how long answers are awaited (pure).

The load: a new map for a group of 192 ranks is 192 orders of 25 kB, 4.7 MB,
0.22 s of a leader's link of 170 Mbit/s. Sent all at once, each with one and the
same short time for all of its bytes, 27 arrived; the others were cut off, sent
again from their first byte, and cut off again: no map was ever changed.

So large orders go out as a window of bytes, and an answer is awaited for as
long as answers to orders come in: a link that is slow, and a sender that is
busy, move all the same. Small orders don't wait for the window.
"""

from __future__ import annotations

from itertools import count
from typing import NamedTuple

#: Seconds for an answer once nothing speaks for its order being on its way: a
#: few round trips within a region. An engine that leaves an order unanswered is
#: given it again, which does no harm, while the whole group may wait.
REPLY_TIMEOUT_S = 0.04

#: Seconds for an answer in any case: by then reports show what became of it.
MAX_REPLY_TIMEOUT_S = 0.4

#: Bytes a second that an engine's own link carries at the least: 3 Mbit/s, the
#: narrowest link of a VM that is known.
MIN_LINK_RATE = 375_000

#: Bytes under way at most: what is urgent waits behind them on the link, 12 ms
#: at 170 Mbit/s. One round trip of that link, 3 ms, is 64 kB, so that the link
#: is never idle.
WINDOW_BYTES = 262_144

#: Bytes of an order that goes out at once, whatever is under way: holds, arms
#: and lets go have under 200.
SMALL_BYTES = 2048


class _Sent(NamedTuple):
    size: int
    sent_at: float


class OrderFlow:
    """The orders under way, in the order in which they were begun."""

    def __init__(self) -> None:
        """Start with none."""
        self._numbers = count()
        self._sent: dict[int, _Sent] = {}
        #: When an order that began later was answered: the link has carried it.
        self._carried_at: dict[int, float] = {}
        #: When an order was answered last.
        self._last_reply_at: float = 0

    def has_room(self, size: int) -> bool:
        """Tell whether an order of so many bytes may be begun."""
        if size <= SMALL_BYTES:
            return True
        on_link = sum(
            sent.size
            for number, sent in self._sent.items()
            if number not in self._carried_at
        )
        return not on_link or on_link + size <= WINDOW_BYTES

    def begin(self, size: int, now: float) -> int:
        """Take note that an order is sent; return its number."""
        number = next(self._numbers)
        self._sent[number] = _Sent(size, now)
        return number

    def record_reply(self, number: int, now: float) -> None:
        """Take note of an answer: what was sent before has left, too."""
        self._last_reply_at = now
        for earlier in self._sent:
            if earlier < number:
                self._carried_at.setdefault(earlier, now)
        self.end(number)

    def end(self, number: int) -> None:
        """Forget an order."""
        self._sent.pop(number, None)
        self._carried_at.pop(number, None)

    def expires_at(self, number: int) -> float:
        """Return when the answer to an order is taken for lost."""
        sent = self._sent[number]
        carried_at = self._carried_at.get(number)
        moved_at = self._last_reply_at if carried_at is None else carried_at
        timeout_s = REPLY_TIMEOUT_S + sent.size / MIN_LINK_RATE
        return min(
            sent.sent_at + MAX_REPLY_TIMEOUT_S,
            max(sent.sent_at, moved_at) + timeout_s,
        )
