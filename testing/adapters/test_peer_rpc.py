"""Tests of streams between nodes, through a proxy that can drop data."""

import asyncio
import contextlib
import random
import zlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from ridgesill.adapters import peer_rpc
from ridgesill.adapters.peer_rpc import (
    PeerLinks,
    PeerServer,
    decode_body,
    encode_body,
)
from ridgesill.adapters.wire.peer_pb2 import Envelope
from ridgesill.core import codec
from ridgesill.core.addresses import split_address
from ridgesill.core.fleet.messages import WatchFleet
from ridgesill.core.following import AskLatest, Latest
from ridgesill.ports.peers import PeerError
from testing.processes import free_address


class DroppingProxy:
    """A TCP proxy that can drop all data of its open connections."""

    def __init__(self, target: str) -> None:
        self.address = free_address()
        self._target = split_address(target)
        self._accepted = 0
        self._dropped_before = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        host, port = split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    def drop_open_connections(self) -> None:
        """Drops all further data on the connections that are open now."""
        self._dropped_before = self._accepted

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._accepted
        self._accepted += 1
        upstream_streams = await asyncio.open_connection(*self._target)
        await asyncio.gather(
            self._forward(number, reader, upstream_streams[1]),
            self._forward(number, upstream_streams[0], writer),
        )

    async def _forward(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if number >= self._dropped_before:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()


async def reply_to_ask_latest(_sender: str, message: Any) -> Any:
    """Replies to `AskLatest` only."""
    return Latest(7) if isinstance(message, AskLatest) else None


@pytest.fixture
async def proxy() -> AsyncIterator[DroppingProxy]:
    """Yields a proxy in front of a node."""
    address = free_address()
    server = PeerServer(reply_to_ask_latest, "b#1")
    await server.start(address)
    started = DroppingProxy(address)
    await started.start()
    yield started
    started.stop()
    await server.stop()


class TestUnresponsiveStreams:
    async def test_a_stream_without_replies_is_reopened(
        self, proxy: DroppingProxy
    ) -> None:
        links = PeerLinks("a#1")
        assert await links.call(proxy.address, AskLatest(), 1.0) == Latest(7)
        proxy.drop_open_connections()
        with pytest.raises(PeerError):
            await links.call(proxy.address, AskLatest(), 3.0)
        assert await links.call(proxy.address, AskLatest(), 2.0) == Latest(7)
        await links.close()

    async def test_an_idle_stream_is_not_reopened(
        self, proxy: DroppingProxy
    ) -> None:
        links = PeerLinks("a#1")
        await links.call(proxy.address, AskLatest(), 1.0)
        await asyncio.sleep(1.5)
        assert proxy._accepted == 1
        await links.close()


class TestBodies:
    @pytest.mark.parametrize("count", [1, 100])
    def test_encoded_body_decodes_to_the_same_message(self, count: int) -> None:
        usage = {f"base/a{number}": 1 for number in range(count)}
        message_sent = WatchFleet(3, 4, 0.5, used=usage)
        assert decode_body(encode_body(message_sent)) == message_sent

    def test_a_large_body_is_compressed(self) -> None:
        usage = {f"base/a{number}": 1 for number in range(100)}
        message_sent = WatchFleet(3, 4, 0.5, used=usage)
        assert (
            len(encode_body(message_sent)) < len(codec.encode(message_sent)) / 2
        )

    def test_a_damaged_body_is_an_error(self) -> None:
        with pytest.raises(codec.DecodeError, match="damaged"):
            decode_body(b"\x78\x01rubbish")

    def test_a_body_that_grows_beyond_the_bound_is_an_error(self) -> None:
        bomb = zlib.compress(bytes(65 * 2**20))
        with pytest.raises(codec.DecodeError, match="more than"):
            decode_body(bomb)

    @pytest.mark.parametrize("name", sorted(codec._CLASSES))
    def test_every_kind_rejects_what_does_not_fit(self, name: str) -> None:
        """Guards against an exception that ends the task that reads."""
        for content in ({"a": [1, 2]}, [1], "text", None, 2**63):
            _decode_or_reject(codec._ENCODER.encode((name, content)))

    @pytest.mark.parametrize("count", [1, 100])
    def test_cut_and_flipped_bodies_are_errors(self, count: int) -> None:
        usage = {f"base/a{number}": 1 for number in range(count)}
        body = encode_body(WatchFleet(3, 4, 0.5, used=usage))
        for length in range(len(body)):
            with pytest.raises(codec.DecodeError):
                decode_body(body[:length])
            for bit in range(8):
                damaged = bytearray(body)
                damaged[length] ^= 1 << bit
                _decode_or_reject(bytes(damaged))


def _decode_or_reject(body: bytes) -> None:
    with contextlib.suppress(codec.DecodeError):
        decode_body(body)


class SlowStream:
    """A stream whose writes have to wait, as by the peer's flow control.

    Attributes:
        sent: number of messages written.
        overlaps: number of messages begun while another one was unfinished.
    """

    def __init__(self, received: list[Envelope]) -> None:
        self.sent = 0
        self.overlaps = 0
        self._received = received
        self._writing = 0

    async def __aiter__(self) -> AsyncIterator[Envelope]:
        for envelope in self._received:
            yield envelope
        await asyncio.sleep(0.2)

    async def send_message(self, _message: Envelope) -> None:
        """Writes a message, after a wait."""
        self.overlaps += self._writing > 0
        self._writing += 1
        await asyncio.sleep(0.01)
        self._writing -= 1
        self.sent += 1


def _make_call(number: int) -> Envelope:
    return Envelope(call=number, sender="a#1", body=encode_body(AskLatest()))


class TestDamage:
    async def test_replies_on_one_stream_do_not_mix(self) -> None:
        """Guards against replies that are written in turns, part by part.

        A reply that waited for the peer's flow control was continued after the
        beginning of another reply. The receiver read a cut-off body, and the
        error ended its process.
        """
        stream = SlowStream([_make_call(number) for number in range(1, 5)])
        server = PeerServer(reply_to_ask_latest, "b#1")
        await server.Exchange(stream)  # type: ignore[arg-type]
        assert (stream.sent, stream.overlaps) == (4, 0)

    async def test_a_ping_does_not_mix_with_a_message(self) -> None:
        stream = SlowStream([])
        links = PeerLinks("a#1")
        link = peer_rpc._Link("127.0.0.1:1", asyncio.Queue())
        await asyncio.gather(
            *(links._send(link, stream, _make_call(n)) for n in range(4))
        )
        assert (stream.sent, stream.overlaps) == (4, 0)

    async def test_a_damaged_reply_costs_one_call(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        address = free_address()
        server = PeerServer(reply_to_ask_latest, "b#1")
        await server.start(address)
        links = PeerLinks("a#1")

        def encode_damaged(message: Any) -> bytes:
            body = encode_body(message)
            return b"\x78\x01cut" if isinstance(message, Latest) else body

        with monkeypatch.context() as patched:
            patched.setattr(peer_rpc, "encode_body", encode_damaged)
            with pytest.raises(PeerError, match="damaged"):
                await links.call(address, AskLatest(), 1.0)
        assert await links.call(address, AskLatest(), 1.0) == Latest(7)
        await links.close()
        await server.stop()

    async def test_a_peer_that_sends_no_messages_is_connected_to_again(
        self,
    ) -> None:
        """Guards against a stream that nobody reads or reopens."""
        accepted = 0

        async def send_garbage(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal accepted
            accepted += 1
            writer.write(random.Random(accepted).randbytes(4096))
            await writer.drain()
            writer.close()

        address = free_address()
        host, port = split_address(address)
        garbage_server = await asyncio.start_server(send_garbage, host, port)
        links = PeerLinks("a#1")
        for _ in range(3):
            with pytest.raises(PeerError):
                await links.call(address, AskLatest(), 1.0)
        assert accepted >= 2
        await links.close()
        garbage_server.close()


class TestTraffic:
    async def test_sent_messages_are_counted_by_kind(self) -> None:
        near_address, far_address = free_address(), free_address()
        servers = [
            PeerServer(reply_to_ask_latest, "b#1"),
            PeerServer(reply_to_ask_latest, "c#1"),
        ]
        for server, address in zip(
            servers, (near_address, far_address), strict=True
        ):
            await server.start(address)
        links = PeerLinks("a#1")
        links.traffic.is_far = lambda peer: peer == far_address
        await links.call(near_address, AskLatest(), 1.0)
        await links.call(far_address, AskLatest(), 1.0)
        sent_calls = links.traffic.kinds["AskLatest"]
        assert sent_calls.messages == 2
        assert 0 < sent_calls.far_bytes < sent_calls.bytes
        sent_replies = servers[0]._traffic.kinds["Latest"]
        assert (sent_replies.messages, sent_replies.far_bytes) == (1, 0)
        await links.close()
        for server in servers:
            await server.stop()
