"""Three control daemons as processes, for tests and benches."""

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
from tests.daemons.wires import Wires, free_port, owns_port
from tests.programs import WAIT_TIMEOUT_S, Program, common_toml, start_daemon

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
    from pathlib import Path

    from snipebend.consensus.records import Member

NAMES = ('c-1', 'c-2', 'c-3')
_CALL_S = 6.0


def fleet_text(number: int) -> str:
    """Return a fleet file that differs from those of other numbers."""
    limit = f'queue_limit = {number + 1}'
    return FLEET.replace('queue_limit = 100', limit)


class ControlGroup:
    """Starts, kills, wipes and asks the three daemons by name."""

    def __init__(
        self,
        folder: Path,
        *,
        wired: bool = True,
        snapshot_every: int = 40,
    ) -> None:
        """Choose ports; ``wired`` lists those of the wires as members'."""
        self.folder = folder
        self.programs: dict[str, Program] = {}
        self.clients = RpcClients()
        self.wires = Wires(self._owner)
        self._snapshot_every = snapshot_every
        self._ports = {name: free_port() for name in NAMES}
        self._listed = self._ports
        if wired:
            self._listed = {name: free_port() for name in NAMES}

    def address(self, name: str) -> str:
        """Return the daemon's own address, past the wires."""
        return f'127.0.0.1:{self._ports[name]}'

    def addresses(self) -> list[str]:
        """Return all daemons' own addresses."""
        return [self.address(name) for name in NAMES]

    def name_at(self, address: str) -> str:
        """Return the daemon with that own address."""
        return next(name for name in NAMES if self.address(name) == address)

    async def open_wires(self) -> None:
        """Put the wires between the daemons."""
        for name in NAMES:
            await self.wires.lead_to(
                name, self._listed[name], self._ports[name]
            )

    async def start(self, *names: str) -> None:
        """Start daemons and wait for their log line."""
        started = await asyncio.gather(*(self._start(name) for name in names))
        self.programs.update(zip(names, started, strict=True))

    async def kill(self, *names: str) -> None:
        """Kill daemons without a chance to say goodbye."""
        for name in names:
            await self.programs.pop(name).kill()
            self.clients.retire(self.address(name))

    async def wipe(self, name: str) -> None:
        """Kill a daemon and take away its disk."""
        await self.kill(name)
        shutil.rmtree(self.folder / name)

    async def apply(
        self, name: str, expected: int, text: str, change: str = ''
    ) -> ApplyReply | None:
        """Apply through one daemon; nothing when it gave no answer."""
        req = ApplyRequest(change or uuid4().hex, expected, text)
        answer = await self.clients.call(
            self.address(name), APPLY, req, timeout=_CALL_S
        )
        return answer.unwrap() if answer.is_ok() else None

    async def show(self, name: str) -> ShowReply:
        """Return what one daemon says is in force; it must answer."""
        answer = await self.clients.call(
            self.address(name), SHOW, ShowRequest(), timeout=_CALL_S
        )
        return answer.unwrap()

    async def revision(self, name: str) -> int | None:
        """Return the revision that one daemon says is in force, if any."""
        answer = await self.clients.call(
            self.address(name), SHOW, ShowRequest(), timeout=_CALL_S
        )
        return answer.unwrap().revision if answer.is_ok() else None

    async def describe(self, name: str) -> GroupReply | None:
        """Return one daemon's view of the group."""
        answer = await self.clients.call(
            self.address(name), GROUP, GroupQuery(), timeout=_CALL_S
        )
        return answer.unwrap() if answer.is_ok() else None

    async def leader(self, *among: str) -> str:
        """Wait until one of the running daemons leads; return its name."""
        found: list[str] = []

        async def look() -> bool:
            for name in among or tuple(self.programs):
                view = await self.describe(name)
                if view is not None and view.role == 'leader':
                    found.append(name)
                    return True
            return False

        await until(look)
        return found[-1]

    async def wait_voters(
        self, *names: str, without: Iterable[str] = ()
    ) -> tuple[Member, ...]:
        """Wait until the leader counts exactly these voters, no learners.

        None of them may have an identity that is in ``without``.
        """
        voters: list[tuple[Member, ...]] = []

        async def look() -> bool:
            view = await self.describe(await self.leader())
            if view is None or view.members.learners:
                return False
            voters.append(view.members.voters)
            if set(without) & {one.member_id for one in voters[-1]}:
                return False
            return {one.name for one in voters[-1]} == set(names)

        await until(look)
        return voters[-1]

    async def close(self) -> None:
        """End all daemons and connections."""
        await self.kill(*tuple(self.programs))
        self.clients.close()
        self.wires.close()

    def _owner(self, port: int) -> str:
        for name, program in self.programs.items():
            if owns_port(program.process.pid, port):
                return name
        return 'nobody'

    async def _start(self, name: str) -> Program:
        members = ''.join(
            f'[[members]]\nname = {json.dumps(one)}\n'
            f'address = "127.0.0.1:{port}"\n'
            for one, port in self._listed.items()
        )
        toml = (
            f'{common_toml(name)}grpc_port = {self._ports[name]}\n'
            f'[storage]\nfolder = "{self.folder / name}"\n'
            f'snapshot_every = {self._snapshot_every}\n{members}'
        )
        return await start_daemon('control', self.folder, name, toml)


async def until(look: Callable[[], Awaitable[Any]]) -> None:
    """Ask again and again until the answer is true."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not await look():
        if time.monotonic() > deadline:
            raise TimeoutError
        await asyncio.sleep(0.05)


@asynccontextmanager
async def control_group(
    folder: Path, *, wired: bool = True, snapshot_every: int = 40
) -> AsyncIterator[ControlGroup]:
    """Run a founded group of three and end what still runs of it."""
    group = ControlGroup(folder, wired=wired, snapshot_every=snapshot_every)
    try:
        if wired:
            await group.open_wires()
        await group.start(*NAMES)
        await group.wait_voters(*NAMES)
        yield group
    finally:
        await group.close()
