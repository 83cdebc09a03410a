"""Tests of what a listener does about clients that leave or are refused."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from ridgesill.adapters.http1.connection_memory import ConnectionMemory
from ridgesill.adapters.http1.server import HttpListener
from ridgesill.core.serving.routes import ClientLimits
from ridgesill.ports.http import HttpRequest, Responder
from testing.processes import free_address

_LIMITS = ClientLimits(16_384, 400_000, 3.0, 5.0)
_TIMEOUT_SECONDS = 5.0
_CANCEL_SECONDS = 1.0
_GET = b"GET /wait HTTP/1.1\r\nHost: a\r\n"


class WaitingWorld:
    """A listener whose requests last until their clients leave.

    Attributes:
        memory: counts what its connections hold.
        started: set when a request has begun.
        cancelled: set when one was cancelled.
    """

    def __init__(self) -> None:
        self.memory = ConnectionMemory(8_000_000)
        self.address = free_address()
        self.listener = HttpListener(
            self.address, self.serve, _LIMITS, self.memory
        )
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def serve(self, request: HttpRequest, responder: Responder) -> None:
        """Waits until the request is cancelled; `/` is answered at once."""
        if request.path == "/wait":
            self.started.set()
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled.set()
        responder.send_head(200, ((b"content-length", b"0"),))
        responder.finish()

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connects a client."""
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def leave_during(self, data: bytes) -> None:
        """Sends a request, and disconnects once it has begun."""
        _, writer = await self.open()
        writer.write(data)
        await asyncio.wait_for(self.started.wait(), _TIMEOUT_SECONDS)
        writer.close()
        await asyncio.wait_for(self.cancelled.wait(), _CANCEL_SECONDS)


@pytest.fixture
async def world() -> AsyncIterator[WaitingWorld]:
    """Yields a listener that has been started."""
    made = WaitingWorld()
    await made.listener.start()
    yield made
    await made.listener.stop()


class TestClientsThatLeave:
    """Guards against work for clients that have gone.

    A connection that isn't received from doesn't notice that its client left.
    """

    async def test_a_short_request_is_cancelled(
        self, world: WaitingWorld
    ) -> None:
        await world.leave_during(_GET + b"\r\n")

    async def test_one_with_a_long_head_is_cancelled(
        self, world: WaitingWorld
    ) -> None:
        await world.leave_during(_GET + b"A: %s\r\n\r\n" % (b"y" * 5_000))

    async def test_one_whose_body_arrives_with_its_head_is_cancelled(
        self, world: WaitingWorld
    ) -> None:
        body = b"x" * 5_000
        await world.leave_during(
            _GET + b"Content-Length: %d\r\n\r\n" % len(body) + body
        )

    async def test_one_sent_behind_another_is_cancelled(
        self, world: WaitingWorld
    ) -> None:
        await world.leave_during(
            b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
            + _GET
            + b"Content-Length: 5000\r\n\r\n"
            + b"x" * 5_000
        )

    async def test_one_in_many_chunks_is_cancelled(
        self, world: WaitingWorld
    ) -> None:
        await world.leave_during(
            _GET
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 200
            + b"0\r\n\r\n"
        )
