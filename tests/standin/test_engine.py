"""A simulated crash must not leave requests of the engine running.

A request with the crash marker stops the engine within the current process,
where no exit of the process ends the other streams.
"""

from __future__ import annotations

import asyncio
import unittest

from snipebend.standin.batcher import Submission
from snipebend.standin.engine import Cancelled, Engine
from snipebend.standin.settings import EngineConfig
from tests.standin.processes import TIMEOUT_S


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """A crash calls the callback and stops the engine's requests."""

    async def test_crash_calls_the_callback_and_stops_all_requests(
        self,
    ) -> None:
        crashed = asyncio.Event()
        engine = Engine(
            EngineConfig(crash_marker='BOOM', step_ms=1),
            clock=asyncio.get_running_loop().time,
            on_crash=crashed.set,
        )
        other_stream = engine.submit(Submission('innocent', '', 10**6))
        await other_stream.tokens.get()
        crashing_stream = engine.submit(Submission('suspect', 'a BOOM', 1))
        async with asyncio.timeout(TIMEOUT_S):
            await crashed.wait()
        counts = engine.ledger.counts()
        await engine.stop()
        self.assertEqual(counts.by_request, {'innocent': 1, 'suspect': 1})
        self.assertEqual(crashing_stream.tokens.get_nowait(), Cancelled())
