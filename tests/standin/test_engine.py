"""Test of the engine inside the process of its caller."""

from __future__ import annotations

import asyncio
import unittest

from snipebend.standin.batcher import Submission
from snipebend.standin.engine import Cancelled, Engine
from snipebend.standin.settings import EngineConfig
from tests.standin.processes import PATIENCE_S


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def test_crash_is_reported_and_ends_all_work(self) -> None:
        crashed = asyncio.Event()
        engine = Engine(
            EngineConfig(crash_marker='BOOM', step_ms=1),
            clock=asyncio.get_running_loop().time,
            on_crash=crashed.set,
        )
        beside = engine.submit(Submission('innocent', '', 10**6))
        await beside.tokens.get()
        suspect = engine.submit(Submission('suspect', 'a BOOM', 1))
        async with asyncio.timeout(PATIENCE_S):
            await crashed.wait()
        counts = engine.ledger.counts()
        await engine.stop()
        self.assertEqual(counts.by_request, {'innocent': 1, 'suspect': 1})
        self.assertEqual(suspect.tokens.get_nowait(), Cancelled())
