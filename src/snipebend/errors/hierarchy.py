"""The error hierarchy: each error knows the step and the peer it arose at."""

from __future__ import annotations


class SnipebendError(Exception):
    """Base of every error that the project raises or returns.

    ``step`` names what was being done (``"route"``, ``"claim"``), ``peer``
    names the other end as ``host:port`` or a process name; an empty peer means
    that nobody else took part.
    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        """Store the message with the step and the peer."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Render as one line of key=value pairs."""
        where = f' peer={self.peer}' if self.peer else ''
        return f'{self.message} (step={self.step}{where})'


class InvalidInputError(SnipebendError):
    """A file, a setting or a request that can't be accepted as it stands."""


class UnavailableError(SnipebendError):
    """A peer didn't answer, or can't serve right now."""


class ConflictError(SnipebendError):
    """Another writer won; the message shows the winner."""


class CorruptionError(SnipebendError):
    """Stored bytes that fail their checksum where no torn write explains it."""
