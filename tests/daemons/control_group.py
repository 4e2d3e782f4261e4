"""A group of three control daemon processes, for tests and benches."""

from __future__ import annotations

import asyncio
import json
import shutil
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any
from uuid import uuid4

from snipebend.console.demo_fleet import FLEET
from snipebend.state.messages import (
    ApplyReply,
    ApplyRequest,
    ShowReply,
    ShowRequest,
)
from snipebend.transport.group_messages import GroupQuery, GroupReply
from snipebend.transport.methods import APPLY, GROUP, SHOW
from snipebend.transport.rpc_clients import RpcClients
from tests.daemons.fault_proxies import FaultProxies, free_port, owns_port
from tests.programs import WAIT_TIMEOUT_S, Program, common_toml, start_daemon

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
    from pathlib import Path

    from snipebend.consensus.records import Member

NAMES = ('c-1', 'c-2', 'c-3')
_CALL_S = 6.0


def fleet_text(number: int) -> str:
    """Return a fleet file that is different for each number."""
    limit = f'queue_limit = {number + 1}'
    return FLEET.replace('queue_limit = 100', limit)


class ControlGroup:
    """Starts, kills, wipes and queries the three daemons by name."""

    def __init__(
        self,
        folder: Path,
        *,
        proxied: bool = True,
        snapshot_every: int = 40,
    ) -> None:
        """Choose ports; if ``proxied``, members connect through the proxies."""
        self.folder = folder
        self.programs: dict[str, Program] = {}
        self.clients = RpcClients()
        self.proxies = FaultProxies(self._owner)
        self._snapshot_every = snapshot_every
        self._ports = {name: free_port() for name in NAMES}
        self._listed = self._ports
        if proxied:
            self._listed = {name: free_port() for name in NAMES}

    def address(self, name: str) -> str:
        """Return the daemon's direct address, without the proxy."""
        return f'127.0.0.1:{self._ports[name]}'

    def addresses(self) -> list[str]:
        """Return the direct addresses of all daemons."""
        return [self.address(name) for name in NAMES]

    def name_at(self, address: str) -> str:
        """Return the name of the daemon with a direct address."""
        return next(name for name in NAMES if self.address(name) == address)

    async def open_proxies(self) -> None:
        """Open the proxies between the daemons."""
        for name in NAMES:
            await self.proxies.forward_to(
                name, self._listed[name], self._ports[name]
            )

    async def start(self, *names: str) -> None:
        """Start daemons and wait until their logs report the start."""
        started = await asyncio.gather(*(self._start(name) for name in names))
        self.programs.update(zip(names, started, strict=True))

    async def kill(self, *names: str) -> None:
        """Kill daemons without a graceful stop."""
        for name in names:
            await self.programs.pop(name).kill()
            self.clients.retire(self.address(name))

    async def wipe(self, name: str) -> None:
        """Kill a daemon and delete its data folder."""
        await self.kill(name)
        shutil.rmtree(self.folder / name)

    async def apply(
        self, name: str, expected: int, text: str, change: str = ''
    ) -> ApplyReply | None:
        """Apply a fleet file through one daemon; ``None`` without a reply."""
        req = ApplyRequest(change or uuid4().hex, expected, text)
        answer = await self.clients.call(
            self.address(name), APPLY, req, timeout=_CALL_S
        )
        return answer.unwrap() if answer.is_ok() else None

    async def show(self, name: str) -> ShowReply:
        """Return the active configuration of a daemon; it must respond."""
        answer = await self.clients.call(
            self.address(name), SHOW, ShowRequest(), timeout=_CALL_S
        )
        return answer.unwrap()

    async def revision(self, name: str) -> int | None:
        """Return the active revision of a daemon; ``None`` without a reply."""
        answer = await self.clients.call(
            self.address(name), SHOW, ShowRequest(), timeout=_CALL_S
        )
        return answer.unwrap().revision if answer.is_ok() else None

    async def describe(self, name: str) -> GroupReply | None:
        """Return one daemon's view of the group; ``None`` without a reply."""
        answer = await self.clients.call(
            self.address(name), GROUP, GroupQuery(), timeout=_CALL_S
        )
        return answer.unwrap() if answer.is_ok() else None

    async def leader(self, *among: str) -> str:
        """Wait until one of the running daemons is leader; return its name."""
        found: list[str] = []

        async def is_met() -> bool:
            for name in among or tuple(self.programs):
                view = await self.describe(name)
                if view is not None and view.role == 'leader':
                    found.append(name)
                    return True
            return False

        await until(is_met)
        return found[-1]

    async def wait_voters(
        self, *names: str, without: Iterable[str] = ()
    ) -> tuple[Member, ...]:
        """Wait until the leader reports exactly these voters and no learners.

        None of their member ids may be in ``without``.
        """
        voters: list[tuple[Member, ...]] = []

        async def is_met() -> bool:
            view = await self.describe(await self.leader())
            if view is None or view.members.learners:
                return False
            voters.append(view.members.voters)
            if set(without) & {voter.member_id for voter in voters[-1]}:
                return False
            return {voter.name for voter in voters[-1]} == set(names)

        await until(is_met)
        return voters[-1]

    async def close(self) -> None:
        """Kill all daemons and close all connections."""
        await self.kill(*tuple(self.programs))
        self.clients.close()
        self.proxies.close()

    def _owner(self, port: int) -> str:
        for name, program in self.programs.items():
            if owns_port(program.process.pid, port):
                return name
        return 'nobody'

    async def _start(self, name: str) -> Program:
        members = ''.join(
            f'[[members]]\nname = {json.dumps(member)}\n'
            f'address = "127.0.0.1:{port}"\n'
            for member, port in self._listed.items()
        )
        toml = (
            f'{common_toml(name)}grpc_port = {self._ports[name]}\n'
            f'[storage]\nfolder = "{self.folder / name}"\n'
            f'snapshot_every = {self._snapshot_every}\n{members}'
        )
        return await start_daemon('control', self.folder, name, toml)


async def until(condition: Callable[[], Awaitable[Any]]) -> None:
    """Poll a condition until it is true."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not await condition():
        if time.monotonic() > deadline:
            raise TimeoutError
        await asyncio.sleep(0.05)


@asynccontextmanager
async def control_group(
    folder: Path, *, proxied: bool = True, snapshot_every: int = 40
) -> AsyncIterator[ControlGroup]:
    """Run a group of three with all voters, and kill it afterwards."""
    group = ControlGroup(folder, proxied=proxied, snapshot_every=snapshot_every)
    try:
        if proxied:
            await group.open_proxies()
        await group.start(*NAMES)
        await group.wait_voters(*NAMES)
        yield group
    finally:
        await group.close()
