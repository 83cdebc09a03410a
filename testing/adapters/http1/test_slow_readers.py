"""Tests of answers to clients that read slowly, over loopback."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import attrs
import pytest
from eliot import add_destinations, remove_destination

from ridgesill.adapters.http1.server import HttpListener
from ridgesill.adapters.http1.slow_readers import SlowReaders
from ridgesill.core.serving.held_bytes import HeldBytes
from ridgesill.core.serving.routes import ClientLimits
from ridgesill.ports.http import HttpRequest, Responder
from testing.clients import open_with_buffer
from testing.processes import free_address

PART = bytes(64 * 1024)
# Far more than the kernel buffers for a client with a small receive buffer.
PARTS = 320


class SlowWorld:
    """A listener whose handler sends 20 MB; the path names the customer.

    Attributes:
        finished: customers whose answers the handler has written completely.
        lines: log lines about slow readers.
    """

    def __init__(self) -> None:
        limits = ClientLimits(1024, 2048, 0.3, 0.5)
        self.listener = HttpListener(free_address(), self.stream, limits)
        self.finished: list[str] = []
        self.lines: list[dict[str, Any]] = []
        self.peak = 0
        self.calls = 0

    async def stream(self, request: HttpRequest, responder: Responder) -> None:
        """Sends 20 MB as fast as it may."""
        self.calls += 1
        customer = request.path.strip("/")
        responder.set_customer(customer)
        length = b"%d" % (PARTS * len(PART))
        responder.send_head(200, ((b"content-length", length),))
        for _ in range(PARTS):
            responder.send_data(PART)
            await responder.drain()
            readers = self.listener.slow_readers
            self.peak = max(self.peak, readers.held.total if readers else 0)
            await asyncio.sleep(0)
        responder.finish()
        self.finished.append(customer)

    def record_line(self, line: dict[str, Any]) -> None:
        """Keeps a log line if a client was disconnected."""
        if line.get("message_type") == "front:slow_reader":
            self.lines.append(line)

    async def ask(self, customer: str) -> asyncio.StreamWriter:
        """Sends a request on a connection that isn't read."""
        address = self.listener._address
        _, writer = await open_with_buffer(address, 4096, limit=1)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n" % customer.encode())
        return writer


@pytest.fixture
async def world() -> AsyncIterator[SlowWorld]:
    """Yields a listener that has been started."""
    started = SlowWorld()
    await started.listener.start()
    add_destinations(started.record_line)
    yield started
    remove_destination(started.record_line)
    await started.listener.stop()


class TestSlowReaders:
    async def test_without_a_bound_the_handler_waits_for_its_client(
        self, world: SlowWorld
    ) -> None:
        writer = await world.ask("a")
        await asyncio.sleep(0.5)
        assert world.finished == []
        writer.close()

    async def test_within_the_bound_the_handler_reads_on(
        self, world: SlowWorld
    ) -> None:
        # Engines abort answers that stay unread for some seconds.
        world.listener.slow_readers = SlowReaders(HeldBytes(1e9))
        writer = await world.ask("a")
        async with asyncio.timeout(5.0):
            while not world.finished:
                await asyncio.sleep(0.01)
        assert not world.lines
        # What the client hasn't read still counts once the answer is complete.
        readers = world.listener.slow_readers
        readers.scan(world.listener.connections, 1.0)
        assert readers.held.total > 10e6
        writer.close()

    async def test_beyond_the_bound_the_largest_customer_s_clients_go(
        self, world: SlowWorld
    ) -> None:
        world.listener.slow_readers = SlowReaders(HeldBytes(50e6))
        writers = [await world.ask(c) for c in ("a", "b", "b", "b")]
        async with asyncio.timeout(5.0):
            while len(world.finished) < 2:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        # 20 MB for each client: two of four fit, one of them of `a`.
        assert sorted(world.finished) == ["a", "b"]
        assert [line["customer"] for line in world.lines] == ["b", "b"]
        assert len({line["peer"] for line in world.lines}) == 2
        assert world.peak <= 50e6
        for writer in writers:
            writer.close()


@attrs.define
class FakeConnection:
    """A connection with a set number of bytes.

    Attributes:
        name: of the connection.
        written: bytes written to it.
        unsent: bytes of these that its client hasn't acknowledged.
        customer: of its latest request.
    """

    name: str
    written: int = 0
    unsent: int = 0
    customer: str = ""

    def measure_unsent(self) -> int:
        return self.unsent

    def abort(self) -> None:
        self.unsent = 0


class TestExcess:
    def test_of_equal_connections_one_goes(self) -> None:
        # Guards against an endless search among connections that hold the
        # same: each new count made another one the first of the largest.
        equal = [FakeConnection(f"c{n}", 40, 40) for n in range(3)]
        readers = SlowReaders(HeldBytes(100))
        readers.scan(equal, 0.5)
        assert sorted(c.unsent for c in equal) == [0, 40, 40]
        assert readers.held.total == 80

    def test_a_client_that_has_read_since_the_scan_stays(self) -> None:
        reading, growing = FakeConnection("r", 80, 80), FakeConnection("g")
        readers = SlowReaders(HeldBytes(100))
        readers.scan([reading, growing], 0.5)
        reading.unsent = 10
        growing.written = growing.unsent = 60
        readers.record(growing)
        assert (reading.unsent, growing.unsent) == (10, 60)
        assert readers.held.total == 70


class TestLink:
    def test_only_bytes_of_connections_that_flow_wait_at_the_link(self) -> None:
        # Load pattern: a link that has dropped to 100 KB/s, and slow readers.
        flowing = [FakeConnection(f"f{n}") for n in range(10)]
        slow = [FakeConnection(f"s{n}", 10**6, 10**6) for n in range(100)]
        readers = SlowReaders(HeldBytes(1e9))
        for now in (0.5, 1.0, 1.5):
            for connection in flowing:
                connection.written += 20_000
                connection.unsent += 15_000
            readers.scan([*flowing, *slow], now)
        assert readers.link_backlog == pytest.approx(100_000)

    def test_one_large_answer_is_not_a_narrow_link(self) -> None:
        """Guards against refusals because of what only one scan has found."""
        readers = SlowReaders(HeldBytes(10**9))
        for number in range(20):
            large = FakeConnection(f"c{number}", 5_000_000, 4_000_000)
            readers.scan([large], 0.1 * number)
            assert readers.link_backlog == 0
            readers.scan([], 0.1 * number + 0.05)
            assert readers.link_backlog == 0


class TestTricklingBodies:
    async def test_a_body_that_trickles_in_holds_no_request(
        self, world: SlowWorld
    ) -> None:
        # A handler that ran meanwhile would hold a slot; the client is
        # disconnected after the idle time, here 0.5 s.
        host, _, port = world.listener._address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n")
        for _ in range(3):
            writer.write(b"x")
            await asyncio.sleep(0.1)
        assert world.calls == 0
        assert await asyncio.wait_for(reader.read(), 5.0) == b""
        assert world.calls == 0
        writer.close()
