"""Builds the ASGI app of the stand-in engine with its routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from snipebend.standin.completions import CHAT_ROUTE, TEXT_ROUTE
from snipebend.standin.generation import Generation, RequestById
from snipebend.standin.http import DisconnectAwareApp, Healthz
from snipebend.standin.resources import (
    CacheState,
    Executions,
    Experts,
    Load,
    Orders,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from falcon.asgi import App

    from snipebend.standin.engine import Engine
    from snipebend.standin.settings import EngineConfig


class EngineLifespan:
    """Middleware that starts and stops the engine with the server."""

    def __init__(self, engine: Engine) -> None:
        """Manage the given engine."""
        self._engine = engine

    async def process_startup(
        self,
        scope: Mapping[str, Any],
        event: Mapping[str, Any],
    ) -> None:
        """Start the batching loop."""
        self._engine.start()

    async def process_shutdown(
        self,
        scope: Mapping[str, Any],
        event: Mapping[str, Any],
    ) -> None:
        """Stop the batching loop; the server has finished all requests."""
        await self._engine.stop()


def build_engine_app(
    cfg: EngineConfig,
    engine: Engine,
) -> App[Any, Any]:
    """Build the engine's app.

    Without lifespan events, the engine starts on the first request.
    """
    app = DisconnectAwareApp(middleware=[EngineLifespan(engine)])
    cache, experts = CacheState(engine), Experts(engine)
    app.add_route('/v1/completions', Generation(engine, TEXT_ROUTE))
    app.add_route('/v1/chat/completions', Generation(engine, CHAT_ROUTE))
    app.add_route('/v1/requests/{request_id}', RequestById(engine))
    app.add_route('/executions', Executions(engine))
    app.add_route('/load', Load(engine))
    app.add_route('/cache-events', cache, suffix='events')
    app.add_route('/cache-snapshot', cache, suffix='snapshot')
    app.add_route('/orders', Orders(engine))
    app.add_route('/expert-load', experts, suffix='load')
    app.add_route('/ranks', experts, suffix='ranks')
    app.add_route('/healthz', Healthz())
    return app
