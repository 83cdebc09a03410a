"""Tests of upstreams whose bytes have no end, or end inside a head."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from ridgesill.adapters.http1.channel import UpstreamChannel
from ridgesill.adapters.http1.client import (
    Exchange,
    UpstreamChannels,
)
from ridgesill.adapters.http1.connection_memory import ConnectionMemory
from ridgesill.adapters.http1.receive_buffer import make_receive_buffer
from ridgesill.ports.http import ChannelError, HttpRequest

_REQUEST = HttpRequest(b"GET", b"/", ((b"host", b"upstream"),))
_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_PIECE = b"x" * 65536
# Bytes that the kernel and the channel may hold for a reader that doesn't read.
_MAX_HELD_BYTES = 16 * 1024 * 1024
_MAX_BODY_BYTES = 16 * 1024 * 1024
_TIMEOUT_SECONDS = 10.0


class EndlessUpstream:
    """Sends a beginning and then a piece again and again until it is closed.

    Attributes:
        sent_bytes: how much it has sent.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.beginning = b""
        self.piece = b""
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Starts it; returns its address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1")
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.beginning)
        try:
            while True:
                writer.write(self.piece)
                await writer.drain()
                self.sent_bytes += len(self.piece)
                await asyncio.sleep(0)
        except OSError:
            writer.close()

    def stop(self) -> None:
        """Accepts no more connections."""
        if self._server is not None:
            self._server.close()


@pytest.fixture
async def upstream() -> AsyncIterator[EndlessUpstream]:
    """Returns an upstream that sends bytes until its caller closes."""
    endless = EndlessUpstream()
    yield endless
    endless.stop()


async def ask(
    upstream: EndlessUpstream, beginning: bytes, piece: bytes
) -> Exchange:
    """Sends a request; the answer is a beginning and pieces without end."""
    upstream.beginning = beginning
    upstream.piece = piece
    channels = UpstreamChannels(1.0)
    return await channels.send(await upstream.start(), _REQUEST)


class TestHeadWithoutEnd:
    @pytest.mark.parametrize(
        ("beginning", "piece"),
        [
            (b"", b"HTTP/1.1 "),
            (_HEAD, b"x-header: value\r\n"),
            (_HEAD + b"x-header: ", _PIECE),
            (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
        ],
        ids=["status", "headers", "header", "interim"],
    )
    async def test_it_is_given_up(
        self, upstream: EndlessUpstream, beginning: bytes, piece: bytes
    ) -> None:
        """Guards against reading a head until the caller's time is over."""
        exchange = await ask(upstream, beginning, piece)
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            with pytest.raises(ChannelError):
                await exchange.read_head()


class TestBodyWithoutEnd:
    @pytest.mark.parametrize(
        ("beginning", "piece"),
        [
            (_HEAD + b"\r\n", _PIECE),
            (_HEAD + b"Content-Length: 99999999999\r\n\r\n", _PIECE),
            (_CHUNKED, b"10000\r\n" + _PIECE + b"\r\n"),
            (_CHUNKED + b"1;", b"extension"),
            (_CHUNKED + b"0\r\n", b"x-trailer: value\r\n"),
        ],
        ids=["unframed", "length", "chunks", "extension", "trailer"],
    )
    async def test_it_is_given_up(
        self, upstream: EndlessUpstream, beginning: bytes, piece: bytes
    ) -> None:
        """Guards against an answer that takes all memory of the process."""
        exchange = await ask(upstream, beginning, piece)
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await exchange.read_head()
            with pytest.raises(ChannelError):
                await exchange.read_rest()
        assert upstream.sent_bytes < _MAX_BODY_BYTES + _MAX_HELD_BYTES

    async def test_a_reader_that_waits_holds_the_upstream_up(
        self, upstream: EndlessUpstream
    ) -> None:
        """Guards against bytes that pile up while a client reads slowly."""
        exchange = await ask(upstream, _HEAD + b"\r\n", _PIECE)
        await exchange.read_head()
        await asyncio.sleep(2.0)
        assert upstream.sent_bytes < _MAX_HELD_BYTES
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            read = 0
            while read < 2 * _MAX_HELD_BYTES:
                read += len(await exchange.read_data())
        exchange.cancel()

    async def test_one_that_nobody_needs_is_soon_cut_off(
        self, upstream: EndlessUpstream
    ) -> None:
        """Guards against a refusal whose body costs the time of the request."""
        exchange = await ask(upstream, _HEAD + b"\r\n", b"x")
        await exchange.read_head()
        async with asyncio.timeout(1.0):
            await exchange.discard_rest()

    async def test_a_response_to_another_request_is_not_skipped_for_ever(
        self, upstream: EndlessUpstream
    ) -> None:
        """Guards against a late response that hides the awaited one."""
        upstream.beginning = _HEAD + b"Request-Id: other\r\n\r\n"
        upstream.piece = _PIECE
        request = HttpRequest(
            b"GET", b"/", ((b"host", b"u"), (b"request-id", b"own"))
        )
        channels = UpstreamChannels(1.0)
        exchange = await channels.send(await upstream.start(), request)
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            with pytest.raises(ChannelError):
                await exchange.read_head()


class TestHeadCutShort:
    """Guards against a head cut short that passes for a whole answer."""

    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 200",
            _HEAD,
            _HEAD + b"Content-Length:",
            _HEAD + b"Content-Length: 0",
            _HEAD + b"Content-Length: 0\r\n",
            _HEAD + b"Transfer-Encoding: chu",
            b"HTTP/1.1 204 No Content\r\n",
        ],
    )
    async def test_it_is_no_answer(self, head: bytes) -> None:
        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1")
        host, port = server.sockets[0].getsockname()
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            exchange = await UpstreamChannels(1.0).send(
                f"{host}:{port}", _REQUEST
            )
            with pytest.raises(ChannelError):
                await exchange.read_head()
        server.close()


def make_channel() -> UpstreamChannel:
    """Returns a channel that isn't connected."""
    return UpstreamChannel("upstream:1", make_receive_buffer())


def receive(channel: UpstreamChannel, data: bytes) -> None:
    """Has a channel receive bytes."""
    buffer = channel.get_buffer(-1)
    for start in range(0, len(data), len(buffer)):
        piece = data[start : start + len(buffer)]
        buffer[: len(piece)] = piece
        channel.buffer_updated(len(piece))


class TestShedBody:
    async def test_it_costs_no_other(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against counting an answer again that was broken off."""
        memory = ConnectionMemory(vm_bytes=8 * 2**20)
        channels = UpstreamChannels(1.0, memory=memory)
        exchange = Exchange(channels, make_channel())
        other = Exchange(channels, make_channel())
        pieces = [b"", b"x", b"x" * 3 * 2**18]

        async def read_received() -> bytes:
            # The second piece had been received before the first was shed.
            if len(pieces) == 2:
                memory.record(other, 2**19)
                memory.record(other, 7 * 2**17)
            return pieces.pop()

        monkeypatch.setattr(exchange, "read_data", read_received)
        await exchange.read_rest()
        assert memory.total == 7 * 2**17


class FakeTransport(asyncio.Transport):
    """A connection that is open until it is aborted."""

    _is_closing = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Drops the data."""

    def pause_reading(self) -> None:
        """Does nothing."""

    def resume_reading(self) -> None:
        """Does nothing."""

    def is_closing(self) -> bool:
        """Whether it is closing."""
        return self._is_closing

    def abort(self) -> None:
        """Closes the connection."""
        self._is_closing = True

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that wait to be sent."""
        return 0


class TestTinyChunks:
    async def test_others_have_their_turns_while_they_are_parsed(self) -> None:
        """Guards against an answer that stops the event loop."""
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                await asyncio.sleep(0)
                turns += 1

        channel = make_channel()
        channel.connection_made(FakeTransport())
        channel.send(_REQUEST)
        receive(
            channel,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 2000
            + b"0\r\n\r\n",
        )
        exchange = Exchange(UpstreamChannels(1.0), channel)
        counting = asyncio.create_task(count_turns())
        await exchange.read_head()
        assert await exchange.read_rest() == b"x" * 2000
        counting.cancel()
        assert turns >= 20
