"""What a control daemon tells its watchers."""

from __future__ import annotations

import unittest
from contextlib import AsyncExitStack, aclosing

from snipebend.state.host_news import HostWatch
from tests.edge.document_rig import Daemon


class TestWatch(unittest.IsolatedAsyncioTestCase):
    """One daemon, whose watches are read here."""

    async def asyncSetUp(self):
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.daemon = Daemon()
        await self.daemon.start(stack)
        self.keeper = self.daemon.keeper

    async def first_news(self, *, fetches):
        watch = HostWatch('e', 0, 0, fetches=fetches)
        async with aclosing(self.keeper.watch(watch)) as news:
            return await anext(news)

    async def test_news_hold_a_document_for_earlier_versions_only(self):
        self.daemon.put(4, b'4 body')
        told = await self.first_news(fetches=True)
        self.assertEqual((told.number, told.document), (4, b''))
        told = await self.first_news(fetches=False)
        self.assertEqual((told.number, told.document), (4, b'4 body'))
