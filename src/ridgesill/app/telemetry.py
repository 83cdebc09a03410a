"""Serves a process's figures once its instruments are there.

The instruments' libraries take a good part of a second of processor time to
import on these machines; a front that has just restarted serves its clients
first, and imports them on another thread.
"""

import asyncio
import importlib
from collections.abc import Callable, Mapping
from typing import Any

from eliot import log_message

from ridgesill.adapters.http1.server import HttpListener
from ridgesill.ports.http import HttpRequest, Responder
from ridgesill.ports.telemetry import Telemetry

# How long a process serves before it imports the instruments, in seconds.
_DELAY_SECONDS = 3.0
_MODULE = "ridgesill.adapters.serving_metrics"
_TEXT = b"text/plain; version=0.0.4"


async def serve_metrics(
    address: str,
    path: str,
    gauges: Mapping[str, Callable[[], float]],
    use: Callable[[Telemetry], None],
) -> None:
    """Makes the instruments, has them used, and serves them until cancelled.

    Args:
        address: `host:port` to serve at.
        path: of the figures.
        gauges: what is read whenever the figures are asked for.
        use: called with the instruments.
    """
    await asyncio.sleep(_DELAY_SECONDS)
    loop = asyncio.get_running_loop()
    module = await loop.run_in_executor(None, importlib.import_module, _MODULE)
    metrics: Any = module.ServingMetrics()
    for name, read in gauges.items():
        metrics.watch(name, read)
    use(metrics)

    async def answer(request: HttpRequest, responder: Responder) -> None:
        found = request.path == path
        body = metrics.render() if found else b""
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
        log_message("metrics:served", peer=address)
    except OSError as error:
        # A process without figures still serves its clients.
        log_message("metrics:not_served", peer=address, detail=str(error))
    try:
        await asyncio.Event().wait()
    finally:
        await listener.stop()
