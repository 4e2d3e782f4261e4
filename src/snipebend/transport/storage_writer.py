"""The one task that writes the data folder, in threads beside the loop."""

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
from snipebend.transport.letters import (
    Letter,
    SnapshotReplaced,
    SnapshotSaved,
    StorageBlocked,
    StorageFailed,
    StorageFree,
    Tell,
)

if TYPE_CHECKING:
    from snipebend.consensus.snapshot_file import Snapshot
    from snipebend.consensus.storage import Storage
    from snipebend.transport.control_meters import ReplicaMeters

Outcome = TypeVar('Outcome')

#: Seconds before a failed write is tried again.
RETRY_DELAY_S = 0.5

#: Writes that may wait; the core bounds what it asks for long before.
_CAPACITY = 1_000_000


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Write the machine's own snapshot; the log may go up to ``keep``."""

    snapshot: Snapshot
    keep: int


@dataclass(frozen=True, slots=True)
class ReplaceSnapshot:
    """Write a leader's snapshot in place of snapshot and log."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """Read the newest snapshot for a follower."""

    target: str


Job = Persist | SaveSnapshot | ReplaceSnapshot | LoadSnapshot


class StorageWriter:
    """Does the jobs in order; joins writes of the log that wait together."""

    def __init__(
        self,
        storage: Storage,
        post: Callable[[Letter], None],
        meters: ReplicaMeters,
    ) -> None:
        """Keep the folder and the way to report what is synced."""
        self._storage = storage
        self._post = post
        self._jobs: Mailbox[Job] = Mailbox(_CAPACITY)
        self._blocked = False
        self._meters = meters

    def put(self, job: Job) -> None:
        """Queue a job."""
        self._jobs.post(job)

    async def run(self) -> None:
        """Work until cancelled, or until the files can't be trusted."""
        job: Job | None = None
        try:
            while True:
                job = await self._work_on(job or await self._jobs.receive())
        except CorruptionError as exc:
            logger.critical('event=storage_failed error={!r}', str(exc))
            self._post(StorageFailed(exc))

    async def _work_on(self, job: Job) -> Job | None:
        """Do a job; return the next one if it was taken off already."""
        match job:
            case Persist():
                return await self._persist(job)
            case SaveSnapshot(snapshot, keep):
                work = partial(self._storage.save_snapshot, snapshot, keep + 1)
                await self._repeat(work)
                self._post(SnapshotSaved(keep))
            case ReplaceSnapshot(snapshot):
                await self._repeat(
                    partial(self._storage.install_snapshot, snapshot)
                )
                self._post(SnapshotReplaced(snapshot))
            case LoadSnapshot(target):
                await self._load(target)
        return None

    async def _persist(self, first: Persist) -> Job | None:
        writes = [first]
        following: Job | None = None
        while following is None and len(self._jobs):
            job = await self._jobs.receive()
            if isinstance(job, Persist):
                writes.append(job)
            else:
                following = job
        began_at = time.monotonic()
        await self._repeat(partial(self._storage.persist, writes))
        self._meters.synced(time.monotonic() - began_at)
        self._post(Tell(Persisted(writes[-1].sequence)))
        return following

    async def _load(self, target: str) -> None:
        snapshot = await self._repeat(self._storage.load_snapshot)
        if snapshot is None:
            return
        meta = snapshot.meta
        loaded = SnapshotLoaded(
            target, meta.index, meta.term, meta.members, snapshot.payload
        )
        self._post(Tell(loaded))

    async def _repeat(self, work: Callable[[], Outcome]) -> Outcome:
        """Work until it succeeds; a full disk is reported, not hidden."""
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
                self._post(StorageFree())
            return outcome
