"""HTTP resources for load, cache, orders, experts and execution counts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from falcon import HTTPConflict
from msgspec import Raw
from result import Err, Ok

from snipebend.standin.http import read_body, send_json
from snipebend.standin.orders import Order

if TYPE_CHECKING:
    from falcon.asgi import Request, Response

    from snipebend.standin.engine import Engine


class Load:
    """``GET /load``: the load as of one report lag ago."""

    def __init__(self, engine: Engine) -> None:
        """Serve the state of the given engine."""
        self._engine = engine

    async def on_get(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Respond with a ``LoadReport``."""
        send_json(resp, self._engine.reporter.load())


class CacheState:
    """``GET /cache-events?after=SEQ`` and ``GET /cache-snapshot``."""

    def __init__(self, engine: Engine) -> None:
        """Serve the state of the given engine."""
        self._engine = engine

    async def on_get_events(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Respond with a list of ``CacheEvent``."""
        after = req.get_param_as_int('after', default=0)
        send_json(resp, self._engine.reporter.cache_events(after))

    async def on_get_snapshot(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Respond with a ``CacheSnapshot``."""
        send_json(resp, self._engine.reporter.cache_snapshot())


class Orders:
    """``/orders``: executes an order or lists the executed ones."""

    def __init__(self, engine: Engine) -> None:
        """Execute orders on the given engine."""
        self._engine = engine

    async def on_get(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Respond with the executed orders as they were sent."""
        send_json(resp, self._engine.orders.executed)

    async def on_post(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Execute an order; respond with the rank's state, or 409."""
        order, raw = await read_body(req, Order)
        executor = self._engine.orders
        match executor.execute(order, Raw(raw), self._engine.clock.step):
            case Ok(rank):
                self._engine.clock.hold_at(executor.hold_step)
                send_json(resp, rank)
            case Err(error):
                raise HTTPConflict(description=error.message)


class Experts:
    """``GET /expert-load`` and ``GET /ranks``."""

    def __init__(self, engine: Engine) -> None:
        """Serve the state of the given engine."""
        self._engine = engine

    async def on_get_load(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Respond with the ``ExpertLoad`` since the previous call."""
        send_json(resp, self._engine.experts.collect(self._engine.clock.step))

    async def on_get_ranks(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Respond with the ``RankState``."""
        state = self._engine.orders.rank_state(self._engine.clock.step)
        send_json(resp, state)


class Executions:
    """``GET /executions`` of the engine."""

    def __init__(self, engine: Engine) -> None:
        """Serve the state of the given engine."""
        self._engine = engine

    async def on_get(
        self,
        req: Request,
        resp: Response,
    ) -> None:
        """Respond with the ``ExecutionCounts``."""
        running = self._engine.batcher.running
        send_json(resp, self._engine.ledger.counts(running))
