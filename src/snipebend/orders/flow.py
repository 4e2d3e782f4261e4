"""Flow control and reply timeouts of orders. Performs no I/O.

A new map for a group of 192 ranks takes 192 orders of 25 kB: 4.7 MB, or 0.22 s
on a leader's link of 170 Mbit/s. When all were sent at once with the same short
timeout for the complete transfer, 27 arrived. The others were cut off, resent
from the first byte and cut off again, so that no map was ever changed.

Therefore large orders are sent within a window of bytes, and the timeout of a
reply is extended while replies to other orders arrive, because a slow link and
a busy sender still make progress. Small orders do not wait for the window.
"""

from __future__ import annotations

from itertools import count
from typing import NamedTuple

#: Timeout in seconds once there is no sign that an order is still in transit: a
#: few round trips within a region. An unanswered order is sent again, which is
#: harmless, whereas a longer timeout can delay the entire group.
REPLY_TIMEOUT_S = 0.04

#: Upper limit of the timeout in seconds. By then reports show the effect of the
#: order.
MAX_REPLY_TIMEOUT_S = 0.4

#: Minimum rate in bytes per second of an engine's link: 3 Mbit/s, the slowest
#: known link of a VM.
MIN_LINK_RATE = 375_000

#: Maximum number of bytes in flight. Urgent orders wait behind them on the
#: link, 12 ms at 170 Mbit/s. One round trip of 3 ms on that link corresponds to
#: 64 kB, so the window is large enough to keep the link busy.
WINDOW_BYTES = 262_144

#: Maximum size in bytes of an order that is sent immediately, regardless of the
#: window: ``Hold``, ``Arm`` and ``Go`` have fewer than 200 bytes.
SMALL_BYTES = 2048


class _SentOrder(NamedTuple):
    size: int
    sent_at: float


class OrderFlow:
    """The orders in flight, in the sequence in which they were sent."""

    def __init__(self) -> None:
        """Create an empty record; order numbers are never reused."""
        self._numbers = count()
        self._sent: dict[int, _SentOrder] = {}
        #: Time of the first reply to a later order, by order number. The reply
        #: implies that the link has delivered the earlier order.
        self._delivered_at: dict[int, float] = {}
        #: Time of the last reply.
        self._last_reply_at: float = 0

    def can_send(self, size: int) -> bool:
        """Return whether an order of ``size`` bytes can be sent now."""
        if size <= SMALL_BYTES:
            return True
        bytes_in_flight = sum(
            sent.size
            for number, sent in self._sent.items()
            if number not in self._delivered_at
        )
        return not bytes_in_flight or bytes_in_flight + size <= WINDOW_BYTES

    def begin(self, size: int, now: float) -> int:
        """Record that an order is sent; return its number."""
        number = next(self._numbers)
        self._sent[number] = _SentOrder(size, now)
        return number

    def record_reply(self, number: int, now: float) -> None:
        """Record a reply, which implies that earlier orders were delivered."""
        self._last_reply_at = now
        for earlier in self._sent:
            if earlier < number:
                self._delivered_at.setdefault(earlier, now)
        self.end(number)

    def end(self, number: int) -> None:
        """Stop tracking an order that was answered or given up."""
        self._sent.pop(number, None)
        self._delivered_at.pop(number, None)

    def expires_at(self, number: int) -> float:
        """Return the time at which the reply to an order counts as lost."""
        sent = self._sent[number]
        delivered_at = self._delivered_at.get(number)
        last_reply_at = (
            self._last_reply_at if delivered_at is None else delivered_at
        )
        timeout_s = REPLY_TIMEOUT_S + sent.size / MIN_LINK_RATE
        return min(
            sent.sent_at + MAX_REPLY_TIMEOUT_S,
            max(sent.sent_at, last_reply_at) + timeout_s,
        )
