"""Supervised tasks: failures are logged and failed tasks restarted."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

#: Seconds before a failed task is restarted.
RESTART_DELAY_S = 0.2

TaskFactory = Callable[[], Coroutine[Any, Any, None]]


class TaskSupervisor:
    """Runs and cancels the background tasks of one process."""

    def __init__(self) -> None:
        """Create a supervisor without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, factory: TaskFactory) -> asyncio.Task[None]:
        """Run ``factory()``, restarting it after each failure."""
        return self._keep(
            asyncio.create_task(_supervise(name, factory), name=name)
        )

    def once(self, name: str, factory: TaskFactory) -> asyncio.Task[None]:
        """Run ``factory()`` once; a failure is logged."""
        return self._keep(
            asyncio.create_task(_log_failure(name, factory), name=name)
        )

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have finished."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def names(self) -> tuple[str, ...]:
        """Return the names of the running tasks, sorted."""
        return tuple(sorted(task.get_name() for task in self._tasks))

    def _keep(self, task: asyncio.Task[None]) -> asyncio.Task[None]:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


async def _supervise(name: str, factory: TaskFactory) -> None:
    while True:
        if await _run_once(name, factory):
            return
        await asyncio.sleep(RESTART_DELAY_S)


async def _run_once(name: str, factory: TaskFactory) -> bool:
    try:
        await factory()
    except Exception as exc:
        logger.error(
            'event=task_failed task={} error={!r} at={}',
            name,
            exc,
            _innermost_line(exc),
        )
        return False
    return True


async def _log_failure(name: str, factory: TaskFactory) -> None:
    await _run_once(name, factory)


def _innermost_line(exc: BaseException) -> str:
    """Return ``file:line`` where the error was raised, for a one-line log."""
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return '-'
    return f'{frames[-1].filename}:{frames[-1].lineno}'
