"""Log set-up: one line of key=value pairs per event."""

from __future__ import annotations

from loguru import logger

from snipebend.telemetry.log_lines import render_json
from snipebend.telemetry.log_writer import LogWriter

_FORMAT = (
    'time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} '
    + 'process={extra[process_name]} {message}'
)


#: Standard file descriptors.
STANDARD_OUTPUT = 1
STANDARD_ERROR = 2


def set_up_logs(
    process_name: str,
    level: str,
    descriptor: int = STANDARD_OUTPUT,
    *,
    as_json: bool = False,
) -> LogWriter:
    """Log events of at least ``level`` to a file descriptor.

    The caller closes the returned writer at exit to write the buffered lines.
    """
    writer = LogWriter(descriptor, render=render_json if as_json else None)
    logger.remove()
    logger.configure(extra={'process_name': process_name})
    logger.add(writer, format=_FORMAT, level=level, backtrace=False)
    return writer
