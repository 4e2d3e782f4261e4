"""The error hierarchy: each error names its step and its peer."""

from __future__ import annotations


class SnipebendError(Exception):
    """Base of every error that the project raises or returns.

    ``step`` names the failed operation (``"route"``, ``"claim"``). ``peer``
    names the other end as ``host:port`` or a process name; it is empty if no
    other process was involved.
    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        """Store the message with the step and the peer."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Render as one line of key=value pairs."""
        peer = f' peer={self.peer}' if self.peer else ''
        return f'{self.message} (step={self.step}{peer})'


class InvalidInputError(SnipebendError):
    """A file, a setting or a request is invalid."""


class UnavailableError(SnipebendError):
    """A peer did not respond or is temporarily unable to serve."""


class ConflictError(SnipebendError):
    """Another writer's change came first; the message names it."""


class CorruptionError(SnipebendError):
    """Stored bytes fail their checksum, and a torn write can't be the cause."""
