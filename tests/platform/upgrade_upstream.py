"""An upstream of the platform's entries that proves its answers."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

BODY = b'whole'


class Upstream:
    """Answers each request, with a limit if it has one."""

    def __init__(self) -> None:
        self.address = ''
        self.limit = ''
        #: The identity that each request was meant for.
        self.seen: list[str] = []

    async def answer(self, req: web.Request) -> web.Response:
        """Answer one request."""
        self.seen.append(req.headers['Snipebend-Expect-Replica'])
        headers = {
            'Snipebend-Attempt-Id': req.headers['Snipebend-Attempt-Id'],
            'Snipebend-Replica-Signature': 's',
        }
        if self.limit:
            headers['Server-Limit'] = self.limit
        return web.Response(body=BODY, headers=headers)


@asynccontextmanager
async def upstream() -> AsyncIterator[Upstream]:
    """Run an upstream."""
    made = Upstream()
    app = web.Application()
    app.router.add_route('*', '/{path:.*}', made.answer)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = runner.addresses[0]
    made.address = f'{host}:{port}'
    try:
        yield made
    finally:
        await runner.cleanup()
