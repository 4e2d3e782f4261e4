"""Fetches documents that control daemons tell of, part by part."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.edge.document_sources import DocumentSources
from snipebend.hosts.parts import Assembly
from snipebend.transport.methods import FETCH_PART

if TYPE_CHECKING:
    from snipebend.kernel.clock import Clock
    from snipebend.transport.rpc_clients import RpcClients

#: Takes over a document: its number, its bytes, and who told the last part.
TakeDocument = Callable[[int, bytes, str], None]

#: Seconds for a part, a connection for it included, before another daemon is
#: asked: three tries fit into the 2 s for a change.
PART_WITHIN_S = 0.6

#: Seconds before the next try after a failed one.
RETRY_S = 0.05

#: Seconds before a damaged document is fetched again, from another daemon if
#: there is one: all of it crosses the link once more.
DAMAGED_RETRY_S = 0.5


class DocumentFetcher:
    """Asks one daemon at a time, over connections of its own.

    A part that is late says nothing of the watch, and news don't wait behind
    documents.
    """

    def __init__(
        self, process: str, clients: RpcClients, take: TakeDocument
    ) -> None:
        """Hand whole documents to ``take``."""
        self._sources = DocumentSources(process)
        self._clients = clients
        self._take = take
        self._told = asyncio.Event()
        #: Number of the newest document that was fetched or taken.
        self._done = 0

    def note_told(self, address: str, number: int) -> None:
        """Note which document a daemon has."""
        self._sources.note_told(address, number)
        if number > self._done:
            self._told.set()

    def note_lost(self, address: str) -> None:
        """Ask a daemon no more until it tells of a document again."""
        self._sources.note_lost(address)

    def note_taken(self, number: int) -> None:
        """Note a document that came another way."""
        self._done = max(self._done, number)

    def close(self) -> None:
        """Close the connections."""
        self._clients.close()

    async def run(self, clock: Clock) -> None:
        """Fetch for ever."""
        while True:
            await self._told.wait()
            self._told.clear()
            assembly = Assembly()
            began_at = clock.now()
            while self._sources.newest > self._done:
                await self._fetch_part(assembly, clock)
                if assembly.whole:
                    await self._finish(assembly, began_at, clock)
                    assembly = Assembly()
                    began_at = clock.now()

    async def _fetch_part(self, assembly: Assembly, clock: Clock) -> None:
        source = self._sources.choose(self._done, clock.now())
        asked = await self._clients.call(
            source, FETCH_PART, assembly.request(), timeout=PART_WITHIN_S
        )
        if asked.is_ok():
            part = asked.unwrap()
            if part.number <= self._done:
                # It restarted, and has less than it told of.
                self._sources.note_told(source, part.number)
                return
            if assembly.take(part):
                return
        reason = str(asked.err() or 'a part that is of no use')
        self._note_failure(source, assembly, reason)
        self._sources.note_failure(source, clock.now())
        await asyncio.sleep(RETRY_S)

    async def _finish(
        self, assembly: Assembly, began_at: float, clock: Clock
    ) -> None:
        """Hand the document on, or fetch it again if it is damaged."""
        source = self._sources.current
        logger.info(
            'event=document_fetched number={} packed_bytes={} parts={} '
            + 'took_ms={:.0f} peer={}',
            assembly.number,
            assembly.arrived,
            assembly.parts,
            1000 * (clock.now() - began_at),
            source,
        )
        unpacked = assembly.unpack()
        if unpacked.is_ok():
            self._done = assembly.number
            self._take(assembly.number, unpacked.unwrap(), source)
            return
        logger.error(
            'event=document_damaged number={} peer={} error={!r}',
            assembly.number,
            source,
            str(unpacked.unwrap_err()),
        )
        self._sources.note_failure(source, clock.now())
        await asyncio.sleep(DAMAGED_RETRY_S)

    def _note_failure(
        self, source: str, assembly: Assembly, reason: str
    ) -> None:
        req = assembly.request()
        logger.info(
            'event=document_part_failed peer={} number={} offset={} size={} '
            + 'error={!r}',
            source,
            req.number,
            req.offset,
            req.size,
            reason,
        )
        assembly.note_failure()
