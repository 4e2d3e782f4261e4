"""Opens a daemon's data folder and joins its control group."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING
from uuid import uuid4

from snipebend.consensus.folder_lock import FolderLock
from snipebend.consensus.records import Member, Members
from snipebend.consensus.storage import Storage
from snipebend.transport.group import Group
from snipebend.transport.group_discovery import ROUND_INTERVAL_S, GroupDiscovery
from snipebend.transport.rpc_clients import RpcClients

if TYPE_CHECKING:
    from snipebend.consensus.storage import StoredState
    from snipebend.kernel.registry import Registry
    from snipebend.settings.model import ControlSettings


#: Seconds between two requests to join by a member outside its group.
REJOIN_INTERVAL_S = 1.5


class GroupStart:
    """Holds the lock of the data folder and creates the group from it."""

    def __init__(self, cfg: ControlSettings) -> None:
        """Store the settings; ``open`` locks and reads the folder."""
        folder = Path(cfg.storage.folder)
        self._cfg = cfg
        self._lock = FolderLock(folder)
        self._storage = Storage(folder)
        self._clients = RpcClients()
        self._opened_state: StoredState | None = None

    def apply_settings(self, cfg: ControlSettings) -> None:
        """Use the seeds of new settings for later searches of the group."""
        self._cfg = cfg

    def open(self) -> Member:
        """Lock and read the folder; return this daemon's identity.

        Raises:
            CorruptionError: when the folder is damaged.
            UnavailableError: when another process uses the folder.
        """
        self._lock.acquire()
        self._opened_state = self._storage.open(uuid4().hex)
        return self._local_member

    async def enter(
        self, registry: Registry, notify: Callable[[], None]
    ) -> Group:
        """Wait until the group is known and return it."""
        opened = self._stored_state
        restored = opened.restored
        if not (restored.members.voters or restored.entries):
            restored = restored._replace(members=await self._find_members())
        return Group(
            self._cfg,
            self._local_member,
            opened._replace(restored=restored),
            self._storage,
            registry,
            self._clients,
            notify,
        )

    async def rejoin(self, group: Group) -> None:
        """Ask to join whenever this member is outside its group.

        A leader may have failed before the addition was committed, or may have
        removed this member while it was unreachable.
        """
        while True:
            await asyncio.sleep(REJOIN_INTERVAL_S)
            status = group.replica.status
            if not status.members.voters:
                await self._build_discovery().run_round()
            elif status.leader is None and self._cfg.seeds:
                voters = [voter.address for voter in status.members.voters]
                await self._build_discovery(*voters).request_readmission()

    def close(self) -> None:
        """Close the connections and unlock the folder."""
        self._clients.close()
        self._lock.release()

    @property
    def _stored_state(self) -> StoredState:
        assert self._opened_state is not None, 'open() must be called first'
        return self._opened_state

    @property
    def _local_member(self) -> Member:
        listed = {one.name: one.address for one in self._cfg.members}
        listen = self._cfg.listen
        name = self._cfg.member_name
        default = f'{listen.host}:{listen.grpc_port}'
        return Member(
            self._stored_state.member_id, name, listed.get(name, default)
        )

    async def _find_members(self) -> Members:
        if not self._cfg.listed_addresses:
            members = Members((self._local_member,))
            await asyncio.to_thread(
                self._storage.save_founding_members, members
            )
            return members
        while True:
            # Built in each round, as the settings may have new seeds.
            found = await self._build_discovery().run_round()
            if found is not None:
                return found
            await asyncio.sleep(ROUND_INTERVAL_S)

    def _build_discovery(self, *known: str) -> GroupDiscovery:
        return GroupDiscovery(
            self._local_member,
            tuple(dict.fromkeys((*self._cfg.listed_addresses, *known))),
            self._clients,
            self._storage.save_founding_members,
            founding_allowed=self._cfg.seeds is None
            or self._cfg.seeds.bootstrap,
        )
