"""Tests that a listener counts nothing once all requests are answered."""

import asyncio
from collections.abc import Sequence

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from ridgesill.ports.http import HttpRequest, Responder
from testing.adapters.http1.listener_world import (
    TIMEOUT_SECONDS,
    ListenerWorld,
)


@attrs.frozen
class Sent:
    """A request that a client sends.

    Attributes:
        padding: bytes of a header.
        chunks: sizes of the body's pieces.
        is_chunked: whether the body comes in chunks.
    """

    padding: int
    chunks: Sequence[int]
    is_chunked: bool

    @property
    def body(self) -> bytes:
        """The body."""
        return b"x" * sum(self.chunks)

    def encode(self, number: int) -> bytes:
        """Returns the bytes of the request."""
        head = b"POST /%d HTTP/1.1\r\nHost: a\r\nA: %s\r\n" % (
            number,
            b"y" * self.padding,
        )
        if not self.is_chunked:
            length = b"Content-Length: %d\r\n\r\n" % len(self.body)
            return head + length + self.body
        pieces = b"".join(
            b"%x\r\n%s\r\n" % (size, b"x" * size) for size in self.chunks
        )
        return (
            head + b"Transfer-Encoding: chunked\r\n\r\n" + pieces + b"0\r\n\r\n"
        )


_REQUESTS = st.lists(
    st.builds(
        Sent,
        st.sampled_from((0, 400, 4_000, 4_200, 12_000)),
        st.lists(st.sampled_from((1, 100, 15_000, 40_000)), max_size=4),
        st.booleans(),
    ),
    min_size=1,
    max_size=6,
)
_PIECES = st.lists(
    st.sampled_from((1, 50, 1_000, 5_000, 16_384, 60_000)), min_size=1
)


class EchoWorld(ListenerWorld):
    """A listener that echoes bodies, and a client that sends in pieces."""

    def __init__(self) -> None:
        super().__init__(100 * 2**20)

    async def serve(self, request: HttpRequest, responder: Responder) -> None:
        """Echoes the body, once bytes that are sent ahead had time to come."""
        await asyncio.sleep(0)
        await super().serve(request, responder)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self.listener.connection_limit.count

    async def exchange(
        self, requests: Sequence[Sent], pieces: Sequence[int]
    ) -> list[tuple[bytes, bytes]]:
        """Sends all requests ahead; returns the path and body of each answer.

        Args:
            requests: what the client sends.
            pieces: sizes of the pieces in which it sends that, in turns.
        """
        reader, writer = await self.open()
        data = b"".join(
            request.encode(number) for number, request in enumerate(requests)
        )

        async def send() -> None:
            position = count = 0
            while position < len(data):
                size = pieces[count % len(pieces)]
                # A client in pieces of a byte would take too long.
                size = max(size, len(data) // 50)
                writer.write(data[position : position + size])
                await writer.drain()
                await asyncio.sleep(0)
                position += size
                count += 1

        sending = asyncio.create_task(send())
        answers = [await _read_answer(reader) for _ in requests]
        await sending
        assert self.memory.total == 0
        assert self.connections == 1
        writer.close()
        await writer.wait_closed()
        return answers


async def _read_answer(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0].startswith(b"HTTP/1.1 200"), lines[0]
    headers = dict(line.split(b": ", 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(headers[b"content-length"]))
    return headers[b"path"], body


async def _play(requests: Sequence[Sent], pieces: Sequence[int]) -> None:
    world = EchoWorld()
    await world.listener.start()
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            answers = await world.exchange(requests, pieces)
            while world.connections:
                await asyncio.sleep(0.001)
    finally:
        await world.listener.stop()
    assert answers == [
        (b"/%d" % number, request.body)
        for number, request in enumerate(requests)
    ]
    assert world.memory.total == 0


async def _play_cut(data: bytes) -> None:
    world = EchoWorld()
    await world.listener.start()
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            reader, writer = await world.open()
            writer.write(data)
            await writer.drain()
            await reader.read(1)
            writer.transport.abort()
            while world.connections:
                await asyncio.sleep(0.001)
    finally:
        await world.listener.stop()
    assert world.memory.total == 0


class TestRequestsInPieces:
    @settings(max_examples=150, deadline=None)
    @given(_REQUESTS, _PIECES)
    def test_all_are_answered_in_order_and_none_counts_afterwards(
        self, requests: list[Sent], pieces: list[int]
    ) -> None:
        """Guards against connections that are shed for what they once held."""
        asyncio.run(_play(requests, pieces))

    @settings(max_examples=100, deadline=None)
    @given(_REQUESTS, _REQUESTS, st.sampled_from((b"", b"no request\r\n\r\n")))
    def test_nothing_counts_once_the_client_has_left(
        self, requests: list[Sent], cut: list[Sent], malformed: bytes
    ) -> None:
        """Guards against what is held of a client that breaks off."""
        whole = b"".join(r.encode(n) for n, r in enumerate(requests))
        unfinished = b"".join(r.encode(n) for n, r in enumerate(cut))
        data = whole + malformed + unfinished[: len(unfinished) // 2]
        asyncio.run(_play_cut(data))
