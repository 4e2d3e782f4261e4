"""The task that owns the Raft core and the state machine."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.consensus.actions import Role
from snipebend.consensus.core import Core
from snipebend.consensus.events import (
    Event,
    HandOver,
    SnapshotInstalled,
    SnapshotTaken,
)
from snipebend.errors.hierarchy import CorruptionError
from snipebend.kernel.mailbox import Mailbox
from snipebend.transport.action_executor import ActionExecutor
from snipebend.transport.applier import Applier
from snipebend.transport.control_meters import ReplicaMeters
from snipebend.transport.pending_requests import PendingRequests
from snipebend.transport.replica_messages import (
    CoreEvent,
    CoreRequest,
    ReplicaMessage,
    SnapshotReplaced,
    SnapshotSaved,
    StorageBlocked,
    StorageFailed,
    StorageUnblocked,
)
from snipebend.transport.storage_writer import StorageWriter

if TYPE_CHECKING:
    from snipebend.consensus.config import CoreConfig
    from snipebend.consensus.core import CoreStatus
    from snipebend.consensus.storage import Storage, StoredState
    from snipebend.kernel.clock import Clock
    from snipebend.transport.peer_links import PeerLinks
    from snipebend.transport.replica_messages import RequestOutcome

#: Number of waiting messages from which those of peers and callers are dropped.
MAX_WAITING_MESSAGES = 10_000

_CAPACITY = 1_000_000


class Replica:
    """Steps the core with the messages of other tasks.

    ``notify`` is called whenever a watched part of the state has changed.
    """

    def __init__(
        self,
        cfg: CoreConfig,
        stored: StoredState,
        storage: Storage,
        clock: Clock,
        links: PeerLinks,
        snapshot_every: int,
        notify: Callable[[], None],
        process_started_at: float,
    ) -> None:
        """Restore the core and the state machine from the data folder.

        ``process_started_at`` is the start time of this process on ``clock``.
        """
        self._clock = clock
        self._notify = notify
        # Only spreads election timeouts; need not be unpredictable.
        self._rng = random.Random()
        self._messages: Mailbox[ReplicaMessage] = Mailbox(_CAPACITY)
        self.links = links
        self.storage_error = ''
        meters = ReplicaMeters()
        self.writer = StorageWriter(storage, self.post, meters)
        self.pending = PendingRequests()
        meta = stored.restored.snapshot
        start = meta.index if meta else 0
        self.applier = Applier(stored.payload, start, snapshot_every)
        self._core = Core(
            cfg,
            stored.member_id,
            stored.restored,
            clock.now(),
            self._rng,
            process_started_at,
        )
        self._executor = ActionExecutor(
            self._core,
            links,
            self.writer,
            self.applier,
            self.pending,
            meters,
        )

    @property
    def status(self) -> CoreStatus:
        """Return the core's view of the group."""
        return self._core.status()

    @property
    def has_lease(self) -> bool:
        """Return whether this member holds the leader lease."""
        return self._clock.now() < self._core.lease_until()

    def contact_ages(self) -> dict[str, float]:
        """Return, on the leader, the seconds since contact with each member."""
        return self._core.contact_ages()

    @property
    def leads(self) -> bool:
        """Return whether this member is the leader, as far as it knows."""
        return self.status.role is Role.LEADER

    @property
    def leader_address(self) -> str:
        """Return the leader's address; empty if it is unknown."""
        leader = self.status.leader
        return leader.address if leader else ''

    async def wait_applied(self, index: int, timeout: float) -> RequestOutcome:
        """Wait until an index is applied here."""
        return await self.pending.wait(index, self.applier.index, timeout)

    def post(self, message: ReplicaMessage) -> None:
        """Queue a message that must not be lost."""
        self._messages.post(message)

    def offer(self, message: ReplicaMessage) -> bool:
        """Queue a message, or drop it and return False if too many wait."""
        if len(self._messages) >= MAX_WAITING_MESSAGES:
            return False
        return self._messages.post(message)

    async def run(self) -> None:
        """Handle messages until cancelled, or until the state is corrupt."""
        try:
            while True:
                self._step(await self._receive_all())
        except CorruptionError as exc:
            logger.critical('event=replica_failed error={!r}', str(exc))
            self.storage_error = str(exc)
            self.pending.fail_all(str(exc))

    async def _receive_all(self) -> list[ReplicaMessage]:
        messages = [await self._messages.receive()]
        while len(self._messages):
            messages.append(await self._messages.receive())
        return messages

    def _step(self, messages: list[ReplicaMessage]) -> None:
        previous = self.applier.watched_revisions
        events: list[Event] = []
        for message in messages:
            events.extend(self._to_core_events(message))
        actions = self._core.step_all(events, self._clock.now(), self._rng)
        self._executor.execute(actions)
        if self.applier.watched_revisions != previous:
            self._notify()

    def _to_core_events(self, message: ReplicaMessage) -> list[Event]:
        match message:
            case CoreEvent(event):
                return [event]
            case CoreRequest(event, _):
                self.pending.add(message)
                return [event]
            case SnapshotReplaced(snapshot):
                self.applier.replace(snapshot)
                return [SnapshotInstalled(snapshot.meta.index)]
            case SnapshotSaved(truncate_to):
                return self._compact_log(truncate_to)
            case StorageBlocked(reason):
                # A member that can write to its disk should be the leader.
                self.storage_error = reason
                return [HandOver()]
            case StorageUnblocked():
                self.storage_error = ''
                return []
            case StorageFailed(error):
                raise error

    def _compact_log(self, truncate_to: int) -> list[Event]:
        """Let the core drop the log up to ``truncate_to``, if it has it."""
        term = self._core.term_at(truncate_to)
        if term is None or not truncate_to:
            return []
        return [
            SnapshotTaken(truncate_to, term, self._core.members_at(truncate_to))
        ]
