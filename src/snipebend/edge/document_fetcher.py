"""Fetches documents announced by control daemons, part by part."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from snipebend.edge.document_sources import DocumentSources
from snipebend.hosts.parts import DocumentAssembly
from snipebend.transport.methods import FETCH_PART

if TYPE_CHECKING:
    from snipebend.kernel.clock import Clock
    from snipebend.transport.rpc_clients import RpcClients

#: Receives a document: its number, its bytes, and the source of its last part.
DocumentHandler = Callable[[int, bytes, str], None]

#: Seconds for a part, including its connection, before another daemon is asked:
#: three attempts fit into the 2 s in which a change must be in force.
PART_TIMEOUT_S = 0.6

#: Seconds before the retry of a failed request.
RETRY_S = 0.05

#: Seconds before a damaged document is fetched again, from another daemon if
#: there is one; the complete document crosses the link once more.
DAMAGED_RETRY_S = 0.5


class DocumentFetcher:
    """Asks one daemon at a time, over connections separate from watches.

    A late part does not affect a watch, and updates do not queue behind
    documents.
    """

    def __init__(
        self, process: str, clients: RpcClients, on_document: DocumentHandler
    ) -> None:
        """Pass complete documents to ``on_document``."""
        self._sources = DocumentSources(process)
        self._clients = clients
        self._on_document = on_document
        self._newer_available = asyncio.Event()
        #: Number of the newest document that was fetched or received otherwise.
        self._latest = 0

    def record_document(self, address: str, number: int) -> None:
        """Record which document a daemon has."""
        self._sources.record_document(address, number)
        if number > self._latest:
            self._newer_available.set()

    def remove_daemon(self, address: str) -> None:
        """Skip a daemon until it announces a document again."""
        self._sources.remove_daemon(address)

    def record_received(self, number: int) -> None:
        """Record a document that was received in another way."""
        self._latest = max(self._latest, number)

    def close(self) -> None:
        """Close the connections."""
        self._clients.close()

    async def run(self, clock: Clock) -> None:
        """Fetch documents until cancelled."""
        while True:
            await self._newer_available.wait()
            self._newer_available.clear()
            assembly = DocumentAssembly()
            started_at = clock.now()
            while self._sources.newest > self._latest:
                await self._fetch_part(assembly, clock)
                if assembly.is_complete:
                    await self._finish(assembly, started_at, clock)
                    assembly = DocumentAssembly()
                    started_at = clock.now()

    async def _fetch_part(
        self, assembly: DocumentAssembly, clock: Clock
    ) -> None:
        source = self._sources.select(self._latest, clock.now())
        reply = await self._clients.call(
            source, FETCH_PART, assembly.next_request(), timeout=PART_TIMEOUT_S
        )
        if reply.is_ok():
            part = reply.unwrap()
            if part.number <= self._latest:
                # The daemon restarted and has an older document than announced.
                self._sources.record_document(source, part.number)
                return
            if assembly.add(part):
                return
        reason = str(reply.err() or 'the part does not continue the document')
        self._log_failure(source, assembly, reason)
        self._sources.record_failure(source, clock.now())
        await asyncio.sleep(RETRY_S)

    async def _finish(
        self, assembly: DocumentAssembly, started_at: float, clock: Clock
    ) -> None:
        """Pass the document on, or have it fetched again if it is damaged."""
        source = self._sources.current
        logger.info(
            'event=document_fetched number={} packed_bytes={} parts={} '
            + 'took_ms={:.0f} peer={}',
            assembly.number,
            assembly.received_bytes,
            assembly.parts,
            1000 * (clock.now() - started_at),
            source,
        )
        unpacked = assembly.unpack()
        if unpacked.is_ok():
            self._latest = assembly.number
            self._on_document(assembly.number, unpacked.unwrap(), source)
            return
        logger.error(
            'event=document_damaged number={} peer={} error={!r}',
            assembly.number,
            source,
            str(unpacked.unwrap_err()),
        )
        self._sources.record_failure(source, clock.now())
        await asyncio.sleep(DAMAGED_RETRY_S)

    def _log_failure(
        self, source: str, assembly: DocumentAssembly, reason: str
    ) -> None:
        req = assembly.next_request()
        logger.info(
            'event=document_part_failed peer={} number={} offset={} size={} '
            + 'error={!r}',
            source,
            req.number,
            req.offset,
            req.size,
            reason,
        )
        assembly.record_failure()
