"""Which control daemon to ask for the next part of a document (pure)."""

from __future__ import annotations

from snipebend.hashing.rendezvous import weigh

#: Seconds for which a daemon that failed goes behind the others.
PAUSE_S = 2.0


class DocumentSources:
    """What control daemons have told of their documents."""

    def __init__(self, process: str) -> None:
        """Spread processes over daemons by the name of each."""
        #: The one that was asked last.
        self.current = ''
        self._process = process
        self._numbers: dict[str, int] = {}
        self._paused_until: dict[str, float] = {}

    @property
    def newest(self) -> int:
        """Return the highest number that was told of."""
        return max(self._numbers.values(), default=0)

    def note_told(self, address: str, number: int) -> None:
        """Note the number of a daemon's document."""
        self._numbers[address] = number

    def note_lost(self, address: str) -> None:
        """Forget what a daemon told."""
        self._numbers.pop(address, None)

    def note_failure(self, address: str, now: float) -> None:
        """Note that a daemon didn't answer in time."""
        self._paused_until[address] = now + PAUSE_S

    def choose(self, above: int, now: float) -> str:
        """Return whom to ask; some daemon has told of a number above.

        The one that was asked last is asked on while it answers, so that parts
        of one document come from one daemon.
        """
        able = [
            address
            for address, number in self._numbers.items()
            if number > above
        ]
        self.current = min(able, key=lambda address: self._rank(address, now))
        return self.current

    def _rank(self, address: str, now: float) -> tuple[float, bool, int]:
        paused_until = self._paused_until.get(address, now)
        return (
            max(now, paused_until),
            address != self.current,
            weigh(address, self._process),
        )
