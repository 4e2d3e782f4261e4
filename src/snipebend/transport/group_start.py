"""Opens a daemon's data folder and enters its group."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING
from uuid import uuid4

from snipebend.consensus.folder_lock import FolderLock
from snipebend.consensus.records import Member, Members
from snipebend.consensus.storage import Storage
from snipebend.transport.founding import ROUND_S, Founding
from snipebend.transport.group import Group
from snipebend.transport.rpc_clients import RpcClients

if TYPE_CHECKING:
    from snipebend.consensus.storage import StoredState
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import ControlSettings


#: Seconds between two requests of a learner that got no log yet.
REJOIN_EVERY_S = 1.5


class GroupStart:
    """The data folder from its lock to its release."""

    def __init__(self, cfg: ControlSettings) -> None:
        """Keep the settings; nothing is opened yet."""
        folder = Path(cfg.storage.folder)
        self._cfg = cfg
        self._lock = FolderLock(folder)
        self._storage = Storage(folder)
        self._clients = RpcClients()
        self._opened: StoredState | None = None

    def take_settings(self, cfg: ControlSettings) -> None:
        """Take over other seeds for a later search of the group."""
        self._cfg = cfg

    def open(self) -> Member:
        """Lock and read the folder; return who this daemon is.

        Raises:
            CorruptionError: when the folder is damaged.
            UnavailableError: when another process uses the folder.
        """
        self._lock.acquire()
        self._opened = self._storage.open(uuid4().hex)
        return self._own

    async def enter(
        self, registry: Registry, notify: Callable[[], None]
    ) -> Group:
        """Return the group, once it is known; that may take time."""
        opened = self._read
        restored = opened.restored
        if not (restored.members.voters or restored.entries):
            restored = restored._replace(members=await self._find_members())
        return Group(
            self._cfg,
            self._own,
            opened._replace(restored=restored),
            self._storage,
            registry,
            self._clients,
            notify,
        )

    async def rejoin(self, group: Group) -> None:
        """Ask for admission whenever this member is outside of its group.

        A leader may have fallen before the admission was committed, or may
        have removed this member while it was away.
        """
        while True:
            await asyncio.sleep(REJOIN_EVERY_S)
            status = group.replica.status
            if not status.members.voters:
                await self._founding().ask_round()
            elif status.leader is None and self._cfg.seeds:
                voters = [voter.address for voter in status.members.voters]
                await self._founding(*voters).ask_back_in()

    def close(self) -> None:
        """Close connections and give the folder back."""
        self._clients.close()
        self._lock.release()

    @property
    def _read(self) -> StoredState:
        assert self._opened is not None, 'open() comes first'
        return self._opened

    @property
    def _own(self) -> Member:
        listed = {one.name: one.address for one in self._cfg.members}
        listen = self._cfg.listen
        name = self._cfg.member_name
        default = f'{listen.host}:{listen.grpc_port}'
        return Member(self._read.member_id, name, listed.get(name, default))

    async def _find_members(self) -> Members:
        if not self._cfg.listed_addresses:
            members = Members((self._own,))
            await asyncio.to_thread(
                self._storage.save_founding_members, members
            )
            return members
        while True:
            # Made anew each time: the settings may name other seeds by now.
            found = await self._founding().ask_round()
            if found is not None:
                return found
            await asyncio.sleep(ROUND_S)

    def _founding(self, *known: str) -> Founding:
        return Founding(
            self._own,
            tuple(dict.fromkeys((*self._cfg.listed_addresses, *known))),
            self._clients,
            self._storage.save_founding_members,
            may_found=self._cfg.seeds is None or self._cfg.seeds.bootstrap,
        )
