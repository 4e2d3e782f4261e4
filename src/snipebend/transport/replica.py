"""The task that owns the core of log replication and the state machine."""

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
from snipebend.transport.applier import Applier
from snipebend.transport.control_meters import ReplicaMeters
from snipebend.transport.effects import Effects
from snipebend.transport.letters import (
    Ask,
    Letter,
    SnapshotReplaced,
    SnapshotSaved,
    StorageBlocked,
    StorageFailed,
    StorageFree,
    Tell,
)
from snipebend.transport.questions import Questions
from snipebend.transport.storage_writer import StorageWriter

if TYPE_CHECKING:
    from snipebend.consensus.config import CoreConfig
    from snipebend.consensus.core import CoreStatus
    from snipebend.consensus.storage import Storage, StoredState
    from snipebend.kernel.clock import Clock
    from snipebend.transport.letters import Answer
    from snipebend.transport.peer_links import PeerLinks

#: Letters that may wait before those of peers and callers are dropped.
BUSY_LETTERS = 10_000

_CAPACITY = 1_000_000


class Replica:
    """Steps the core with the letters of other tasks.

    ``notify`` is called whenever something that watchers follow has changed.
    """

    def __init__(
        self,
        cfg: CoreConfig,
        opened: StoredState,
        storage: Storage,
        clock: Clock,
        links: PeerLinks,
        snapshot_every: int,
        notify: Callable[[], None],
        began_at: float,
    ) -> None:
        """Restore core and machine from what the disk held.

        ``began_at`` is when this process began, by the clock.
        """
        self._clock = clock
        self._notify = notify
        # Spreads elections only; nobody gains by guessing it.
        self._rng = random.Random()
        self._letters: Mailbox[Letter] = Mailbox(_CAPACITY)
        self.links = links
        self.storage_error = ''
        meters = ReplicaMeters()
        self.writer = StorageWriter(storage, self.post, meters)
        self.questions = Questions()
        meta = opened.restored.snapshot
        start = meta.index if meta else 0
        self.applier = Applier(opened.payload, start, snapshot_every)
        self._core = Core(
            cfg,
            opened.member_id,
            opened.restored,
            clock.now(),
            self._rng,
            began_at,
        )
        self._effects = Effects(
            self._core,
            links,
            self.writer,
            self.applier,
            self.questions,
            meters,
        )

    @property
    def status(self) -> CoreStatus:
        """Return the core's view of the group."""
        return self._core.status()

    @property
    def has_lease(self) -> bool:
        """Tell whether this member leads and nobody else can."""
        return self._clock.now() < self._core.lease_until()

    def contact_ages(self) -> dict[str, float]:
        """Return, on the leader, the others' silences in seconds."""
        return self._core.contact_ages()

    @property
    def leads(self) -> bool:
        """Tell whether this member leads, as far as it knows."""
        return self.status.role is Role.LEADER

    @property
    def leader_address(self) -> str:
        """Return where the leader answers; empty: not known."""
        leader = self.status.leader
        return leader.address if leader else ''

    async def executed(self, index: int, timeout: float) -> Answer:
        """Wait until an index is executed here."""
        return await self.questions.wait(index, self.applier.index, timeout)

    def post(self, letter: Letter) -> None:
        """Send a letter that must not get lost."""
        self._letters.post(letter)

    def offer(self, letter: Letter) -> bool:
        """Send a letter that may be dropped when too many wait."""
        if len(self._letters) >= BUSY_LETTERS:
            return False
        return self._letters.post(letter)

    async def run(self) -> None:
        """Work until cancelled, or until the state can't be trusted."""
        try:
            while True:
                self._step(await self._collect())
        except CorruptionError as exc:
            logger.critical('event=replica_failed error={!r}', str(exc))
            self.storage_error = str(exc)
            self.questions.fail_all(str(exc))

    async def _collect(self) -> list[Letter]:
        letters = [await self._letters.receive()]
        while len(self._letters):
            letters.append(await self._letters.receive())
        return letters

    def _step(self, letters: list[Letter]) -> None:
        news = self.applier.news
        events: list[Event] = []
        for letter in letters:
            events.extend(self._to_events(letter))
        actions = self._core.step_all(events, self._clock.now(), self._rng)
        self._effects.carry_out(actions)
        if self.applier.news != news:
            self._notify()

    def _to_events(self, letter: Letter) -> list[Event]:
        match letter:
            case Tell(event):
                return [event]
            case Ask(event, _):
                self.questions.add(letter)
                return [event]
            case SnapshotReplaced(snapshot):
                self.applier.replace(snapshot)
                return [SnapshotInstalled(snapshot.meta.index)]
            case SnapshotSaved(keep):
                return self._drop_log(keep)
            case StorageBlocked(reason):
                # Another member with room on its disk should lead.
                self.storage_error = reason
                return [HandOver()]
            case StorageFree():
                self.storage_error = ''
                return []
            case StorageFailed(error):
                raise error

    def _drop_log(self, keep: int) -> list[Event]:
        """Let the core forget what a snapshot covers, if it still has it."""
        term = self._core.term_at(keep)
        if term is None or not keep:
            return []
        return [SnapshotTaken(keep, term, self._core.members_at(keep))]
