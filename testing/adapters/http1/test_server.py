"""Tests of the listener: bad input and slow clients."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from ridgesill.adapters.http1.server import HttpListener
from ridgesill.core.serving.routes import ClientLimits
from ridgesill.ports.http import HttpRequest, Responder
from testing.processes import free_address


async def echo(request: HttpRequest, responder: Responder) -> None:
    """Answers with the request's body."""
    if request.path == "/slow":
        responder.send_head(200, ((b"content-length", b"4"),))
        await asyncio.sleep(0.2)
        responder.send_data(b"slow")
        responder.finish()
        return
    if request.path == "/fault":
        raise RuntimeError("a fault of the handler")
    length = b"%d" % len(request.body)
    responder.send_head(200, ((b"content-length", length),))
    responder.send_data(request.body)
    responder.finish()


@pytest.fixture
async def listener() -> AsyncIterator[HttpListener]:
    """Returns a listener that answers with what it gets."""
    limits = ClientLimits(1024, 2048, 0.3, 1.0)
    made = HttpListener(free_address(), echo, limits)
    await made.start()
    yield made
    await made.stop()


async def exchange(listener: HttpListener, data: bytes) -> bytes:
    """Sends bytes and returns everything up to the end of the channel."""
    host, _, port = listener._address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    return answer


class TestBadInput:
    async def test_a_request_line_that_is_none(
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

    async def test_a_head_that_never_ends(self, listener: HttpListener) -> None:
        answer = await exchange(listener, b"GET / HTTP/1.1\r\nHost:")
        assert answer.startswith(b"HTTP/1.1 408")

    async def test_a_fault_ends_only_its_own_request(
        self, listener: HttpListener
    ) -> None:
        faulty = b"GET /fault HTTP/1.1\r\nHost: a\r\n\r\n"
        sound = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        answer = await exchange(listener, faulty + sound)
        assert answer.startswith(b"HTTP/1.1 502")
        assert b"HTTP/1.1 200" in answer


class TestBodies:
    async def test_chunks_make_up_a_body(self, listener: HttpListener) -> None:
        request = (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        answer = await exchange(listener, request)
        assert answer.endswith(b"\r\n\r\nabcde")


class TestDraining:
    async def test_answers_ask_the_client_to_close(
        self, listener: HttpListener
    ) -> None:
        listener.drain()
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        answer = await exchange(listener, request)
        assert b"connection: close" in answer.lower()

    async def test_new_channels_are_refused_while_open_ones_go_on(
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

    async def test_a_channel_ends_with_an_answer_begun_before(
        self, listener: HttpListener
    ) -> None:
        # Its client would go on sending requests until the process is gone.
        host, _, port = listener._address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"close" not in head.lower()
        listener.drain()
        # Well before a channel at rest is closed.
        rest = await asyncio.wait_for(reader.read(), 0.7)
        assert rest == b"slow"
        writer.close()

    async def test_a_request_that_came_meanwhile_is_still_answered(
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
