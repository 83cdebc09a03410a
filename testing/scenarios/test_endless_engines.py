"""A control node whose engines answer without end, many at once.

It requests reports of engines that it doesn't know at the same time. Each
answer is bounded, and so are their bodies together, but not what has been
received and not read yet.
"""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest

from testing.platform_world import PlatformDeployment, send_http_request
from testing.processes import free_address
from testing.scenarios.test_unbounded_clients import check_process

pytestmark = pytest.mark.process

_ENGINES = 200
_HEARTBEAT_SECONDS = 1.0
_PRESSED_SECONDS = 8.0
# With 200 engines that answer as they should the process takes 48 MB.
_MEMORY_MB = 64
_PIECE = bytes(4 * 2**20)
_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def make_document() -> bytes:
    """Returns a configuration with a service of engines."""
    model = {
        "name": "base",
        "weights_mb": 1000,
        "load_time_s": 1,
        "adapters": 4,
        "adapter_mb": 10,
    }
    engine = {
        "slots": 8,
        "weights_mb": 4000,
        "adapter_slots": 4,
        "loads_per_s": 5,
        "models": [model],
    }
    service = {
        "name": "engine",
        "health_path": "/health",
        "connection_limit": 50,
        "engine": engine,
    }
    route = {
        "name": "r",
        "host": "a.example",
        "prefix": "/r/",
        "kind": "stream",
        "timeout_ms": 2000,
        "goal_ms": 200,
        "priority": 0,
        "service": "engine",
        "attempts": 2,
    }
    document = {"version": 1, "routes": [route], "services": [service]}
    return msgspec.json.encode(document)


class EndlessEngines:
    """Engines that send heartbeats and answer calls without end.

    Attributes:
        calls: number of calls that were answered so.
    """

    def __init__(self, control: str) -> None:
        self.calls = 0
        self._control = control
        self._addresses = [free_address() for _ in range(_ENGINES)]
        self._servers: list[asyncio.Server] = []
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts listening and sending heartbeats."""
        for address in self._addresses:
            host, _, port = address.rpartition(":")
            server = await asyncio.start_server(self._serve, host, int(port))
            self._servers.append(server)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls += b" /ridgesill/" in head
            writer.write(_HEAD)
            while True:
                writer.write(_PIECE)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    async def _send_heartbeats(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            await asyncio.gather(
                *(
                    self._send_heartbeat(number, sequence)
                    for number in range(_ENGINES)
                )
            )
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _send_heartbeat(self, number: int, sequence: int) -> None:
        body = {
            "service": "engine",
            "address": self._addresses[number],
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "sequence": sequence,
            "models": [],
        }
        url = f"http://{self._control}/ridgesill/Instances.Heartbeat/u{number}"
        await send_http_request("POST", url, msgspec.json.encode(body))

    def stop(self) -> None:
        """Stops listening and sending heartbeats."""
        for server in self._servers:
            server.close()
        if self._heartbeats is not None:
            self._heartbeats.cancel()


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[PlatformDeployment]:
    """Yields a control node on a VM with little memory."""
    settings = {"limits": {"memory_mb": _MEMORY_MB, "file_descriptors": 400}}
    made = PlatformDeployment(tmp_path, 1, 0, None, settings)
    try:
        await made.start()
        await made.put_configuration(make_document())
        yield made
    finally:
        made.stop()


async def test_a_control_node_outlives_answers_without_end(
    deployment: PlatformDeployment,
) -> None:
    """Guards against bytes that are counted only after they were parsed."""
    control = deployment.controls[0]
    engines = EndlessEngines(deployment.control_address(control))
    await engines.start()
    await asyncio.sleep(_PRESSED_SECONDS)
    engines.stop()
    assert engines.calls > _ENGINES
    check_process(control, _MEMORY_MB)
    assert await deployment.read_version() == 1
