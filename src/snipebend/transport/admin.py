"""The administrative HTTP interface of every daemon.

``/healthz`` responds while the process runs, ``/readyz`` reports to the load
balancer of the platform whether to send new work, ``/metrics`` is for scraping
and ``/dump``
returns the state of the process as JSON.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import falcon
from falcon.asgi import App
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    REGISTRY,
    generate_latest,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from falcon.asgi import Request, Response
    from prometheus_client import Metric

    from snipebend.kernel.process import Process


#: Of the metrics that the metrics library adds.
_LIBRARY_PREFIXES = ('python_', 'process_')


class _Healthz:
    """Serves the liveness check."""

    async def on_get(self, req: Request, resp: Response) -> None:
        resp.content_type = falcon.MEDIA_TEXT
        resp.text = 'ok\n'


class _Readyz:
    """Serves the readiness check."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    async def on_get(self, req: Request, resp: Response) -> None:
        resp.content_type = falcon.MEDIA_TEXT
        if self._ready():
            resp.text = 'ready\n'
            return
        resp.status = falcon.HTTP_503
        resp.text = 'not ready\n'


class _OrderedMetrics:
    """The metrics of the process, the project's short ones first.

    Monitoring that keeps only the beginning of a page then has the counters.
    """

    def collect(self) -> list[Metric]:
        """Return all metrics in the order of the page."""
        return sorted(REGISTRY.collect(), key=_page_order)


def _page_order(metric: Metric) -> tuple[bool, bool]:
    is_library_metric = metric.name.startswith(_LIBRARY_PREFIXES)
    return is_library_metric, metric.type == 'histogram'


class _Metrics:
    """Serves the OpenTelemetry metrics in the Prometheus text format."""

    async def on_get(self, req: Request, resp: Response) -> None:
        resp.content_type = CONTENT_TYPE_LATEST
        resp.data = generate_latest(_OrderedMetrics())


class _Dump:
    """Serves the state of every service of the process."""

    def __init__(self, dump: Callable[[], dict[str, object]]) -> None:
        self._dump = dump

    async def on_get(self, req: Request, resp: Response) -> None:
        resp.content_type = falcon.MEDIA_JSON
        resp.text = json.dumps(self._dump(), default=str)


def build_admin_app(process: Process) -> App[Request, Response]:
    """Build the administrative application of a process."""
    app = App()
    app.add_route('/healthz', _Healthz())
    app.add_route('/readyz', _Readyz(process.ready))
    app.add_route('/metrics', _Metrics())
    app.add_route('/dump', _Dump(process.dump))
    return app
