"""Serves a process's figures; its instruments are made when first asked for.

Their libraries take 5 MB of memory (resident size of a front before and after)
and, on these machines, a good part of a second of processor time, which a
process that has just started needs for its clients. They are imported on the
event loop's own thread, so that a front has no other one.
"""

import asyncio
import importlib
from collections.abc import Callable, Mapping
from typing import Any

from eliot import log_message

from ridgesill.adapters.http1.server import HttpListener
from ridgesill.ports.http import HttpRequest, Responder
from ridgesill.ports.telemetry import KeptTelemetry, Telemetry

# Imported one after the other, so that requests go on in between.
_MODULES = (
    "prometheus_client",
    "opentelemetry.metrics",
    "opentelemetry.sdk.metrics",
    "ridgesill.adapters.serving_metrics",
)
# Between two of them, in seconds.
_PAUSE_SECONDS = 0.02
_TEXT = b"text/plain; version=0.0.4"


class Instruments:
    """The instruments of a process, made when they are first asked for.

    Args:
        gauges: what is read whenever the figures are asked for.
        swap: called with the instruments; returns what kept counts until then.
    """

    def __init__(
        self,
        gauges: Mapping[str, Callable[[], float]],
        swap: Callable[[Telemetry], Telemetry],
    ) -> None:
        self._gauges = gauges
        self._swap = swap
        self._making = asyncio.Lock()
        self._made: Any = None

    async def render(self) -> bytes:
        """Returns all figures as text."""
        async with self._making:
            if self._made is None:
                await self._make()
        return bytes(self._made.render())

    async def _make(self) -> None:
        for name in _MODULES:
            module = importlib.import_module(name)
            await asyncio.sleep(_PAUSE_SECONDS)
        metrics = module.ServingMetrics()
        for name, read in self._gauges.items():
            metrics.add_gauge(name, read)
        before = self._swap(metrics)
        if isinstance(before, KeptTelemetry):
            before.hand_over(metrics)
        self._made = metrics
        log_message("metrics:made")


async def serve_metrics(
    address: str, path: str, instruments: Instruments
) -> None:
    """Serves the figures until cancelled.

    Args:
        address: `host:port` to serve at.
        path: of the figures.
        instruments: what they are read from.
    """

    async def answer(request: HttpRequest, responder: Responder) -> None:
        found = request.path == path
        body = await instruments.render() if found else b""
        headers = (
            (b"content-type", _TEXT),
            (b"content-length", b"%d" % len(body)),
        )
        responder.send_head(200 if found else 404, headers)
        responder.send_data(body)
        responder.finish()

    listener = HttpListener(address, answer)
    try:
        await listener.start()
    except OSError as error:
        # A process without figures still serves its clients.
        log_message("metrics:not_served", peer=address, detail=str(error))
    try:
        await asyncio.Event().wait()
    finally:
        await listener.stop()
