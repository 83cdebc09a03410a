"""Tests of the HTTP/1.1 server: invalid requests, limits and draining."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

import pytest

from ridgesill.adapters.http1.server import HttpListener, ServerConnection
from ridgesill.core.serving.routes import ClientLimits
from ridgesill.ports.http import HttpRequest, Responder
from testing.app.front_world import Client
from testing.processes import free_address


async def echo(request: HttpRequest, responder: Responder) -> None:
    """Responds with the request's body; slowly or not at all on some paths."""
    if request.path == "/slow":
        responder.send_head(200, ((b"content-length", b"4"),))
        await asyncio.sleep(0.2)
        responder.send_data(b"slow")
        responder.finish()
        return
    if request.path == "/fault":
        raise RuntimeError("error in the handler")
    length = b"%d" % len(request.body)
    responder.send_head(200, ((b"content-length", length),))
    responder.send_data(request.body)
    responder.finish()


@pytest.fixture
async def listener() -> AsyncIterator[HttpListener]:
    """Yields a listener that runs `echo`."""
    limits = ClientLimits(1024, 2048, 0.3, 1.0)
    started = HttpListener(free_address(), echo, limits)
    await started.start()
    yield started
    await started.stop()


async def exchange(listener: HttpListener, data: bytes) -> bytes:
    """Sends bytes and returns all bytes received until the connection ends."""
    host, _, port = listener._address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    return answer


class TestBadInput:
    async def test_an_invalid_request_line(
        self, listener: HttpListener
    ) -> None:
        answer = await exchange(listener, b"what is this\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 400")

    async def test_headers_over_the_limit(self, listener: HttpListener) -> None:
        head = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 4096
        answer = await exchange(listener, head)
        assert answer.startswith(b"HTTP/1.1 431")

    async def test_a_body_over_the_limit(self, listener: HttpListener) -> None:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4096\r\n\r\n"
        answer = await exchange(listener, head + b"x" * 4096)
        assert answer.startswith(b"HTTP/1.1 413")

    async def test_an_incomplete_head_times_out(
        self, listener: HttpListener
    ) -> None:
        answer = await exchange(listener, b"GET / HTTP/1.1\r\nHost:")
        assert answer.startswith(b"HTTP/1.1 408")

    async def test_an_exception_fails_only_its_own_request(
        self, listener: HttpListener
    ) -> None:
        failing = b"GET /fault HTTP/1.1\r\nHost: a\r\n\r\n"
        succeeding = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        answer = await exchange(listener, failing + succeeding)
        assert answer.startswith(b"HTTP/1.1 502")
        assert b"HTTP/1.1 200" in answer


class FullTransport(asyncio.Transport):
    """A connection whose client takes nothing.

    Attributes:
        is_aborted: whether it has ended.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False
        self._unsent = bytearray()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Keeps the data."""
        self._unsent += data

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that wait to be sent."""
        return len(self._unsent)

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Does nothing."""

    def resume_reading(self) -> None:
        """Does nothing."""

    def is_closing(self) -> bool:
        """Whether it has ended."""
        return self.is_aborted

    def abort(self) -> None:
        """Ends the connection."""
        self.is_aborted = True


class TestRefusalThatIsNotTaken:
    async def test_its_connection_ends(self, listener: HttpListener) -> None:
        """Guards against connections that stay open and count nowhere."""
        connection = ServerConnection(listener)
        transport = FullTransport()
        connection.connection_made(transport)
        request = b"what is this\r\n\r\n"
        connection.get_buffer(-1)[: len(request)] = request
        connection.buffer_updated(len(request))
        now = asyncio.get_running_loop().time()
        connection.check_timeouts(now + 0.9)
        assert not transport.is_aborted
        connection.check_timeouts(now + 1.1)
        assert transport.is_aborted
        connection.connection_lost(None)


class TestBodies:
    async def test_a_chunked_body_is_joined(
        self, listener: HttpListener
    ) -> None:
        request = (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        answer = await exchange(listener, request)
        assert answer.endswith(b"\r\n\r\nabcde")


class TestDraining:
    async def test_responses_ask_the_client_to_close(
        self, listener: HttpListener
    ) -> None:
        listener.drain()
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        answer = await exchange(listener, request)
        assert b"connection: close" in answer.lower()

    async def test_clients_leave_while_descriptors_are_short(
        self, listener: HttpListener
    ) -> None:
        # A front that refuses requests but keeps its connections stays short.
        listener.is_crowded = True
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        for _ in range(2):
            answer = await exchange(listener, request)
            assert b"connection: close" in answer.lower()

    async def test_clients_of_a_front_that_is_cut_off_connect_anew(
        self, listener: HttpListener
    ) -> None:
        listener.sends_clients_away = lambda: True
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        answer = await exchange(listener, request)
        assert b"connection: close" in answer.lower()

    async def test_closed_listener_serves_open_connections_only(
        self, listener: HttpListener
    ) -> None:
        host, _, port = listener._address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        listener.close()
        with pytest.raises(OSError):
            await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def test_connection_closes_after_a_response_begun_before_draining(
        self, listener: HttpListener
    ) -> None:
        # Otherwise the client would send requests until the process exits.
        host, _, port = listener._address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"close" not in head.lower()
        listener.drain()
        # Shorter than the idle timeout of 1 s.
        rest = await asyncio.wait_for(reader.read(), 0.7)
        assert rest == b"slow"
        writer.close()

    async def test_request_received_before_the_connection_closes_is_served(
        self, listener: HttpListener
    ) -> None:
        host, _, port = listener._address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        listener.drain()
        writer.write(b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n")
        rest = await asyncio.wait_for(reader.read(), 2.0)
        assert rest.startswith(b"slowHTTP/1.1 200")
        assert b"connection: close" in rest.lower()
        writer.close()


class TestResponsesToHttp10:
    """Responses without a length, whose end is that of their connection."""

    @pytest.fixture
    async def streaming(self) -> AsyncIterator[HttpListener]:
        """Yields a listener that begins responses and ends them late."""
        started = HttpListener(free_address(), self.respond_late)
        await started.start()
        yield started
        await started.stop()

    async def respond_late(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        responder.send_head(200, ())
        responder.send_data(b"part")
        await asyncio.sleep(0.3)
        if request.path == "/fault":
            raise RuntimeError("error in the handler")
        if request.path == "/endless":
            await asyncio.sleep(60.0)
        if request.path != "/unfinished":
            responder.finish()

    async def begin(self, listener: HttpListener, path: str) -> Client:
        """Returns a client once the first part of its response has come."""
        host, _, port = listener._address.rpartition(":")
        client = Client(*await asyncio.open_connection(host, int(port)))
        client.writer.write(f"GET {path} HTTP/1.0\r\n\r\n".encode())
        await client.reader.readuntil(b"part")
        return client

    async def test_the_stop_of_the_listener_does_not_complete_them(
        self, streaming: HttpListener
    ) -> None:
        client = await self.begin(streaming, "/endless")
        await streaming.stop()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(client.reader.read(), 5.0)

    @pytest.mark.parametrize("path", ["/fault", "/unfinished"])
    async def test_the_end_of_their_handler_does_not_complete_them(
        self, streaming: HttpListener, path: str
    ) -> None:
        client = await self.begin(streaming, path)
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(client.reader.read(), 5.0)

    async def test_the_kernel_does_not_complete_them(
        self, streaming: HttpListener
    ) -> None:
        """Guards against a killed process that completes responses."""
        client = await self.begin(streaming, "/endless")
        (connection,) = streaming.connections
        assert connection._transport is not None
        connected = connection._transport.get_extra_info("socket")
        linger = connected.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        assert struct.unpack("ii", linger) == (1, 0)
        client.close()

    async def test_complete_ones_end_in_order(
        self, streaming: HttpListener
    ) -> None:
        """Guards against resets of responses that have all their bytes."""
        client = await self.begin(streaming, "/")
        assert await asyncio.wait_for(client.reader.read(), 5.0) == b""
        await streaming.stop()
