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
        """Render as ``message (step=... peer=...)``."""
        peer = f' peer={self.peer}' if self.peer else ''
        return f'{self.message} (step={self.step}{peer})'


class InvalidInputError(SnipebendError):
    """An argument, a file, a setting, a message or a request is invalid.

    For example, two services are registered under the same name.
    """


class UnavailableError(SnipebendError):
    """A peer did not respond, or it or this process cannot serve for now."""


class ConflictError(SnipebendError):
    """The state rules out the operation, for example after a newer fence."""


class CorruptionError(SnipebendError):
    """Stored or received data are damaged or break an invariant.

    For example, a checksum fails and a torn write can't be the cause, a log
    segment is missing, or committed entries would be truncated.
    """
