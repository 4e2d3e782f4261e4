"""Upstreams that end when they begin to run a request with a certain part."""

from __future__ import annotations

from contextlib import asynccontextmanager

from tests.edge.relay_fixture import (
    FakeUpstream,
    SteppedClock,
    request,
    respond_ok,
    running,
    send_request,
)

#: Seconds between two requests.
INTERVAL_S = 1.0


class CrashingUpstream(FakeUpstream):
    """Breaks all its calls and stops listening when it ends."""

    def __init__(self, crashes):
        """Keep the function that tells which requests end it."""
        super().__init__(self._respond)
        self._crashes = crashes
        self._writers = set()
        self.ended = False
        #: Whether it breaks its calls and goes on.
        self.broken = False

    async def end(self):
        """End with all calls in progress."""
        self.ended = True
        await self.stop()
        for writer in self._writers:
            writer.transport.abort()

    async def _respond(self, req, writer):
        self._writers.add(writer)
        if self.broken:
            return False
        if self._crashes(req):
            await self.end()
            return False
        return await respond_ok(req, writer)


class CrashingFleet:
    """One entry whose upstreams end under some requests."""

    def __init__(self, relay, clock, crashes):
        self.relay = relay
        self._clock = clock
        self._crashes = crashes
        self._requests = 0
        self.upstreams = []

    @property
    def ended(self):
        """Return the number of upstreams that have ended."""
        return sum(upstream.ended for upstream in self.upstreams)

    async def add_upstreams(self, count):
        """Start upstreams and announce them."""
        for _ in range(count):
            upstream = CrashingUpstream(self._crashes)
            await upstream.start()
            identity = f'i-{len(self.upstreams)}'
            self.upstreams.append(upstream)
            self.relay.announce(identity, upstream.address)

    async def send(self, *parts, path='/safe/'):
        """Send a request unlike all others, with these shared parts."""
        self._clock.advanced_s += INTERVAL_S
        self._requests += 1
        data = request(
            path,
            body=f'ask {self._requests}'.encode(),
            x_id=f'r{self._requests}',
            x_parts=','.join((*parts, f'own-{self._requests}')),
        )
        return await send_request(self.relay, data)

    async def stop(self):
        """Stop all upstreams."""
        for upstream in self.upstreams:
            await upstream.stop()


@asynccontextmanager
async def crashing_fleet(upstreams, crashes):
    """Run an entry with upstreams that end under some requests."""
    clock = SteppedClock()
    async with running(clock=clock) as relay:
        fleet = CrashingFleet(relay, clock, crashes)
        await fleet.add_upstreams(upstreams)
        try:
            yield fleet
        finally:
            await fleet.stop()


def has_part(*bad):
    """Return a function that tells which requests have one of these parts."""

    def crashes(req):
        parts = req.headers.get('x-parts', '').split(',')
        return any(part in bad for part in parts)

    return crashes
