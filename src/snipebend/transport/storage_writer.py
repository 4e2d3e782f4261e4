"""The only task that writes to the data folder; it does so in threads."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, TypeVar

from loguru import logger

from snipebend.consensus.actions import Persist
from snipebend.consensus.events import Persisted, SnapshotLoaded
from snipebend.errors.hierarchy import CorruptionError
from snipebend.kernel.mailbox import Mailbox
from snipebend.transport.replica_messages import (
    CoreEvent,
    ReplicaMessage,
    SnapshotReplaced,
    SnapshotSaved,
    StorageBlocked,
    StorageFailed,
    StorageUnblocked,
)

if TYPE_CHECKING:
    from snipebend.consensus.snapshot_file import Snapshot
    from snipebend.consensus.storage import Storage
    from snipebend.transport.control_meters import ReplicaMeters

Outcome = TypeVar('Outcome')

#: Seconds before a failed write is retried.
RETRY_DELAY_S = 0.5

#: Maximum number of waiting jobs; the core's own limits are reached long
#: before.
_CAPACITY = 1_000_000


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Save a snapshot of this replica, then drop the log to ``truncate_to``."""

    snapshot: Snapshot
    truncate_to: int


@dataclass(frozen=True, slots=True)
class ReplaceSnapshot:
    """Replace the stored snapshot and log by a snapshot from the leader."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """Load the newest snapshot to send it to a follower."""

    target: str


Job = Persist | SaveSnapshot | ReplaceSnapshot | LoadSnapshot


class StorageWriter:
    """Runs jobs in order; combines consecutive waiting log writes."""

    def __init__(
        self,
        storage: Storage,
        post: Callable[[ReplicaMessage], None],
        meters: ReplicaMeters,
    ) -> None:
        """Store the data folder and the function that posts results."""
        self._storage = storage
        self._post = post
        self._jobs: Mailbox[Job] = Mailbox(_CAPACITY)
        self._blocked = False
        self._meters = meters

    def put(self, job: Job) -> None:
        """Queue a job."""
        self._jobs.post(job)

    async def run(self) -> None:
        """Run jobs until cancelled, or until the files are corrupt."""
        job: Job | None = None
        try:
            while True:
                job = await self._run_job(job or await self._jobs.receive())
        except CorruptionError as exc:
            logger.critical('event=storage_failed error={!r}', str(exc))
            self._post(StorageFailed(exc))

    async def _run_job(self, job: Job) -> Job | None:
        """Run a job; return the next one if it was already dequeued."""
        match job:
            case Persist():
                return await self._persist(job)
            case SaveSnapshot(snapshot, truncate_to):
                work = partial(
                    self._storage.save_snapshot, snapshot, truncate_to + 1
                )
                await self._retry(work)
                self._post(SnapshotSaved(truncate_to))
            case ReplaceSnapshot(snapshot):
                await self._retry(
                    partial(self._storage.install_snapshot, snapshot)
                )
                self._post(SnapshotReplaced(snapshot))
            case LoadSnapshot(target):
                await self._load(target)
        return None

    async def _persist(self, first: Persist) -> Job | None:
        writes = [first]
        next_job: Job | None = None
        while next_job is None and len(self._jobs):
            job = await self._jobs.receive()
            if isinstance(job, Persist):
                writes.append(job)
            else:
                next_job = job
        began_at = time.monotonic()
        await self._retry(partial(self._storage.persist, writes))
        self._meters.record_sync(time.monotonic() - began_at)
        self._post(CoreEvent(Persisted(writes[-1].sequence)))
        return next_job

    async def _load(self, target: str) -> None:
        snapshot = await self._retry(self._storage.load_snapshot)
        if snapshot is None:
            return
        meta = snapshot.meta
        loaded = SnapshotLoaded(
            target, meta.index, meta.term, meta.members, snapshot.payload
        )
        self._post(CoreEvent(loaded))

    async def _retry(self, work: Callable[[], Outcome]) -> Outcome:
        """Retry until success; report failures such as a full disk."""
        while True:
            try:
                outcome = await asyncio.to_thread(work)
            except OSError as exc:
                self._blocked = True
                logger.error('event=storage_blocked reason={!r}', str(exc))
                self._post(StorageBlocked(str(exc)))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if self._blocked:
                self._blocked = False
                self._post(StorageUnblocked())
            return outcome
