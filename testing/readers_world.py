"""One front process, with clients that read slowly beside others that don't."""

import asyncio
import time
from pathlib import Path

import msgspec

from testing.clients import open_with_buffer
from testing.platform_world import (
    ROUTE_HOST,
    PlainUpstream,
    PlatformDeployment,
    make_proof_lines,
)

MEMORY_MB = 200
# Answers: to slow readers far more than their sockets take, to others a few
# events at a steady pace.
_LARGE_PARTS = 30
_LARGE_PART = b"x" * 10_000
_EVENTS = 20
_EVENT_SECONDS = 0.05
_WAVE_SECONDS = 1.0


class StreamUpstream(PlainUpstream):
    """Streams a long answer on `/slow/` and a short one on other paths.

    Attributes:
        large_part_seconds: time between two parts of a long answer.
    """

    large_part_seconds = _EVENT_SECONDS

    async def _answer(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n")
        writer.write(make_proof_lines(head) + b"\r\n")
        if b" /slow/" in head:
            pause = self.large_part_seconds
            await _send(writer, _LARGE_PART, _LARGE_PARTS, pause)
        else:
            event = b"data: x\n\n"
            await _send(writer, event, _EVENTS, _EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        self.served_requests += 1


async def _send(
    writer: asyncio.StreamWriter, part: bytes, count: int, pause: float
) -> None:
    for _ in range(count):
        writer.write(b"%x\r\n%s\r\n" % (len(part), part))
        await writer.drain()
        await asyncio.sleep(pause)


def make_document(version: int = 1) -> bytes:
    """Returns a configuration with a route to long and one to short answers."""
    routes = [
        {
            "name": name,
            "host": ROUTE_HOST,
            "prefix": f"/{name}/",
            "kind": "stream",
            "timeout_ms": 60_000,
            "goal_ms": 4000,
            "priority": 0,
            "service": "plain",
            "attempts": 1,
        }
        for name in ("slow", "fast")
    ]
    services = [
        {"name": "plain", "health_path": "/health", "connection_limit": 9999}
    ]
    document = {"version": version, "routes": routes, "services": services}
    return msgspec.json.encode(document)


class ReadersWorld:
    """A front with limits, a control node and an upstream.

    Args:
        folder: folder for settings, disks and logs.
        link_mbps: bandwidth of the front's link, in Mbit/s; 0 for no limit.
    """

    def __init__(self, folder: Path, link_mbps: float = 0.0) -> None:
        settings = {
            "limits": {"memory_mb": MEMORY_MB, "link_mbps": link_mbps},
            "contracts": ["pressure"],
        }
        self.deployment = PlatformDeployment(folder, 1, 1, settings)
        self.front = self.deployment.fronts[0]
        self.upstream = StreamUpstream(
            [self.deployment.control_address(self.deployment.controls[0])]
        )
        self.deployment.upstream = self.upstream
        self._slow: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts all processes and waits until the front serves."""
        await self.deployment.start()
        await self.deployment.put_configuration(make_document())
        deadline = time.monotonic() + 20.0
        while await self._ask_fast() == float("inf"):
            assert time.monotonic() < deadline, self.deployment.logs()
            await asyncio.sleep(0.1)

    def stop(self) -> None:
        """Stops everything."""
        self.leave_slow()
        self.deployment.stop()

    async def _open(
        self, path: str, receive_bytes: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends a request on a new connection."""
        address = self.deployment.client_address(self.front)
        limit = receive_bytes or 2**16
        reader, writer = await open_with_buffer(address, receive_bytes, limit)
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
            "Request-Id: r1\r\nRequest-Deadline: 60000\r\n\r\n".encode()
        )
        return reader, writer

    async def _ask_fast(self) -> float:
        """Returns the seconds of an answer; infinity if it isn't complete."""
        began = time.monotonic()
        try:
            reader, writer = await self._open("/fast/1")
        except OSError:
            return float("inf")
        try:
            async with asyncio.timeout(30.0):
                await reader.readuntil(b"\r\n0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            return float("inf")
        finally:
            writer.close()
        return time.monotonic() - began

    async def measure_fast(self, clients: int) -> float:
        """Returns the 95th percentile of answers' seconds to fast readers."""

        async def ask_after(delay: float) -> float:
            await asyncio.sleep(delay)
            return await self._ask_fast()

        delays = (n * _WAVE_SECONDS / clients for n in range(clients))
        seconds = await asyncio.gather(*map(ask_after, delays))
        return sorted(seconds)[int(0.95 * clients)]

    async def add_slow(self, clients: int) -> None:
        """Adds clients that read a byte a second."""
        for number in range(clients):
            self._slow.append(asyncio.create_task(self._read_slowly()))
            if number % 20 == 0:
                await asyncio.sleep(0.02)

    async def _read_slowly(self) -> None:
        reader, writer = await self._open("/slow/1", 2048)
        try:
            while await reader.read(1):
                await asyncio.sleep(1.0)
        except ConnectionError:
            pass
        finally:
            writer.close()

    def leave_slow(self) -> None:
        """Disconnects all slow clients."""
        for task in self._slow:
            task.cancel()
        self._slow.clear()

    def count_disconnected(self) -> int:
        """Returns how many slow clients the front has disconnected."""
        log = self.front.settings_file.with_suffix(".log").read_text()
        return log.count("front:slow_reader")

    def peak_memory_bytes(self) -> int:
        """Returns the largest resident memory that the front has had."""
        process = self.front.process
        assert process is not None
        status = Path(f"/proc/{process.pid}/status").read_text()
        line = next(s for s in status.splitlines() if s.startswith("VmHWM"))
        return int(line.split()[1]) * 1024
