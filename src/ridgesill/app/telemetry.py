"""Serves a process's metrics; creates the instruments on the first request.

The metrics libraries add 5 MB to the resident memory of a front and take a
large part of a second of processor time to import, which a process that has
just started needs for its clients. They are imported on the thread of the event
loop, so that a front needs no other thread.
"""

import asyncio
import importlib
from collections.abc import Callable, Mapping
from typing import Any

from eliot import log_message

from ridgesill.adapters.http1.connection_limit import ConnectionLimit
from ridgesill.adapters.http1.connection_memory import ConnectionMemory
from ridgesill.adapters.http1.server import HttpListener
from ridgesill.core.serving.routes import BODILESS_LIMITS
from ridgesill.ports.http import HttpRequest, Responder
from ridgesill.ports.telemetry import BufferedTelemetry, Telemetry

# Imported one at a time, so that requests are handled in between.
_MODULES = (
    "prometheus_client",
    "opentelemetry.metrics",
    "opentelemetry.sdk.metrics",
    "ridgesill.adapters.serving_metrics",
)
# Pause after each import.
_PAUSE_SECONDS = 0.02
_CONTENT_TYPE = b"text/plain; version=0.0.4"


class Instruments:
    """The metrics instruments of a process, created when first rendered.

    Args:
        gauges: functions by metric name that return the current values.
        swap: installs the instruments in the process; returns the telemetry
            that they replace, whose observations are handed over.
    """

    def __init__(
        self,
        gauges: Mapping[str, Callable[[], float]],
        swap: Callable[[Telemetry], Telemetry],
    ) -> None:
        self._gauges = gauges
        self._replace_telemetry = swap
        self._creation_lock = asyncio.Lock()
        self._instruments: Any = None

    async def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        async with self._creation_lock:
            if self._instruments is None:
                await self._create()
        return bytes(self._instruments.render())

    async def _create(self) -> None:
        for name in _MODULES:
            module = importlib.import_module(name)
            await asyncio.sleep(_PAUSE_SECONDS)
        metrics = module.ServingMetrics()
        for name, read in self._gauges.items():
            metrics.add_gauge(name, read)
        previous = self._replace_telemetry(metrics)
        if isinstance(previous, BufferedTelemetry):
            previous.replay_into(metrics)
        self._instruments = metrics
        log_message("metrics:made")


async def serve_metrics(
    address: str,
    path: str,
    instruments: Instruments,
    memory: ConnectionMemory,
    connection_limit: ConnectionLimit,
) -> None:
    """Serves the metrics over HTTP until cancelled.

    If the address cannot be bound, the error is logged and nothing is served.

    Args:
        address: `host:port` to listen on.
        path: URL path of the metrics.
        instruments: source of the metrics.
        memory: bounds what the connections of this process hold.
        connection_limit: bounds how many there are.
    """

    async def handle_request(
        request: HttpRequest, responder: Responder
    ) -> None:
        is_metrics_path = request.path == path
        body = await instruments.render() if is_metrics_path else b""
        headers = (
            (b"content-type", _CONTENT_TYPE),
            (b"content-length", b"%d" % len(body)),
        )
        responder.send_head(200 if is_metrics_path else 404, headers)
        responder.send_data(body)
        responder.finish()

    listener = HttpListener(
        address, handle_request, BODILESS_LIMITS, memory, connection_limit
    )
    try:
        await listener.start()
    except OSError as error:
        # A process that cannot serve its metrics still serves its clients.
        log_message("metrics:not_served", peer=address, detail=str(error))
    try:
        await asyncio.Event().wait()
    finally:
        await listener.stop()
