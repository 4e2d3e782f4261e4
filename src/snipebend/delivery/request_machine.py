"""The life of one caller's request at an entry, as a pure state machine."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random

    from snipebend.delivery.actions import Action
    from snipebend.delivery.events import Event


class DeliveryLimits(NamedTuple):
    """Bounds of one request's life.

    ``max_deadline_s`` caps the caller's deadline, ``key_retention_s`` is how
    long a claim is remembered after it, ``max_stored_bytes`` the longest
    answer that is kept for resends, ``max_buffered_chunks`` how far chunks may
    run ahead of a missing one.
    """

    entry: str
    max_deadline_s: float = 600
    key_retention_s: float = 86400
    max_stored_bytes: int = 65536
    max_buffered_chunks: int = 64
    settle_tries: int = 3


class RequestMachine:
    """Decides what is done next for one request.

    The first event is ``Arrived``. The driver runs the actions and reports
    back by events until ``done``; it may forget the machine then.
    """

    def __init__(self, limits: DeliveryLimits) -> None:
        """Wait for the request."""
        self._limits = limits

    @property
    def done(self) -> bool:
        """Tell whether nothing more is awaited or to be settled."""
        raise NotImplementedError

    def step(self, event: Event, now: float, rng: Random) -> list[Action]:
        """Take one event at wall time ``now`` in seconds."""
        raise NotImplementedError
